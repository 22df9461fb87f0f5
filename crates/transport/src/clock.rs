//! The clocks of the instance. The processes read them here and pass the time
//! to the state machines as input.

use {
    filbertbend_state::time::{Instant, Wall},
    rustix::time::{clock_gettime, ClockId},
    std::time::SystemTime,
};

/// Reads the monotonic clock, which all processes of the instance share. It
/// counts the time in which the instance was suspended: a lease or leadership
/// that was granted before may have run out meanwhile.
pub fn monotonic() -> Instant {
    let now = clock_gettime(ClockId::Boottime);
    Instant(now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000)
}

/// Reads the wall clock.
pub fn wall() -> Wall {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Wall(now.as_millis() as u64)
}
