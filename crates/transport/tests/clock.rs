//! The clock that permissions are measured with.

use {
    filbertbend_transport::clock,
    rustix::time::{clock_gettime, ClockId},
};

fn boot_time_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// Guards against an agent that extends its worker's lease by the time in which
/// the instance was suspended, which the leader counts as passed. Both clocks
/// agree on an instance that was never suspended.
#[test]
fn monotonic_clock_counts_the_time_of_a_suspension() {
    let before = boot_time_ms();
    let now = clock::monotonic();
    let after = boot_time_ms();

    assert!((before..=after).contains(&now.0), "{before} {now} {after}");
}
