//! Points in time, which are passed to the state machines as input.

use {
    crate::unit::Millis,
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        ops::{Add, Sub},
    },
};

/// A point on the monotonic clock of one instance, in milliseconds.
///
/// Values of different instances cannot be compared, so only durations are
/// sent between processes on different instances.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time from `earlier` to this point, or zero if `earlier` is
    /// later than this point.
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for Instant {
    type Output = Self;

    fn add(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<Millis> for Instant {
    type Output = Self;

    fn sub(self, duration: Millis) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}s", self.0 / 1000, self.0 % 1000)
    }
}

/// A wall-clock time in milliseconds since the Unix epoch.
///
/// Wall clocks differ between instances, so this is used for audit entries and
/// for deadlines that survive a change of owner, never for leases.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl Add<Millis> for Wall {
    type Output = Self;

    fn add(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl fmt::Display for Wall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
