//! Reads the resource usage of a process from `/proc`.

use std::fs;

/// Returns the resident memory of a process in bytes, or `None` if it is not
/// running.
pub fn resident_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}

/// Returns the processor time of a process in milliseconds, or `None` if it is
/// not running.
pub fn processor_ms(pid: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Skips the command name, which may contain spaces and parentheses.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    Some(ticks * 1000 / rustix::param::clock_ticks_per_second())
}
