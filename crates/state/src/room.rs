//! Room on a worker: the resources that tasks use and release.

use {
    crate::unit::{Accelerators, Bytes, Cores},
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        ops::{Add, AddAssign, Sub, SubAssign},
    },
};

/// An amount of each resource of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Room {
    /// Processor time, in thousandths of a core.
    pub cores: Cores,
    /// Memory, in bytes.
    pub memory: Bytes,
    /// Number of accelerators.
    pub accelerators: Accelerators,
}

impl Room {
    /// Zero of every resource.
    pub const NONE: Self = Self {
        cores: Cores::ZERO,
        memory: Bytes::ZERO,
        accelerators: Accelerators::ZERO,
    };

    /// Returns whether `size` fits into this room in every resource.
    pub fn fits(&self, size: &Self) -> bool {
        size.cores <= self.cores
            && size.memory <= self.memory
            && size.accelerators <= self.accelerators
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn least(self, other: Self) -> Self {
        Self {
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Subtracts `size` in every resource, or returns `None` if it does not fit.
    #[must_use]
    pub fn checked_sub(self, size: Self) -> Option<Self> {
        self.fits(&size).then(|| self - size)
    }

    /// Returns the largest fraction that this amount takes of any resource of
    /// `whole`. It is at least 0; above 1 means that the amount does not fit.
    pub fn dominant_share(&self, whole: &Self) -> f64 {
        let fraction = |size: u64, whole: u64| match (size, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (size, whole) => size as f64 / whole as f64,
        };
        fraction(self.cores.0, whole.cores.0)
            .max(fraction(self.memory.0, whole.memory.0))
            .max(fraction(
                self.accelerators.0.into(),
                whole.accelerators.0.into(),
            ))
    }
}

impl Add for Room {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cores: self.cores + other.cores,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

impl AddAssign for Room {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Room {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            cores: self.cores - other.cores,
            memory: self.memory - other.memory,
            accelerators: self.accelerators - other.accelerators,
        }
    }
}

impl SubAssign for Room {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl fmt::Display for Room {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} cores, {}, {} accelerators",
            self.cores, self.memory, self.accelerators
        )
    }
}
