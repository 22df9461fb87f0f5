//! Durations, sizes, counts and shares with their units.

use {
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        iter::Sum,
        num::ParseIntError,
        ops::{Add, AddAssign, Sub, SubAssign},
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
};

/// A quantity that could not be parsed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not {expected}")]
pub struct Error {
    text: Arc<str>,
    expected: &'static str,
}

impl Error {
    fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.chars().take(64).collect::<String>().into(),
            expected,
        }
    }
}

macro_rules! quantities {
    ($($(#[$doc:meta])* $name:ident($type:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $type);

        impl $name {
            /// The quantity zero.
            pub const ZERO: Self = Self(0);

            /// Subtracts `other`, saturating at zero.
            #[must_use]
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                *self = *self - other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
                iter.fold(Self::ZERO, Add::add)
            }
        }
    )*};
}

quantities! {
    /// A duration in milliseconds.
    Millis(u64);
    /// Processor time in thousandths of a core.
    Cores(u64);
    /// Memory or data in bytes.
    Bytes(u64);
    /// A count of accelerators.
    Accelerators(u32);
    /// A count of request slots, which bound the concurrent requests of an
    /// endpoint.
    Slots(u32);
    /// A count of connections of an endpoint.
    Connections(u32);
}

impl Millis {
    /// Creates a duration from a number of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// Returns the duration as a standard [`Duration`], for timers.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 >= 1000 && self.0.is_multiple_of(1000) {
            write!(f, "{}s", self.0 / 1000)
        } else {
            write!(f, "{}ms", self.0)
        }
    }
}

impl FromStr for Millis {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || {
            Error::new(
                text,
                "a span of time: use a number with ms, s, m or h, such as 800ms",
            )
        };
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let factor = match &text[digits.len()..] {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(error()),
        };
        let number: u64 = digits.parse().map_err(|_| error())?;
        number.checked_mul(factor).map(Self).ok_or_else(error)
    }
}

impl fmt::Display for Cores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1000) {
            write!(f, "{}", self.0 / 1000)
        } else {
            write!(f, "{}m", self.0)
        }
    }
}

impl FromStr for Cores {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error::new(text, "a number of cores: use 2, or 500m for half a core");
        let parse = |digits: &str| -> Result<u64, ParseIntError> { digits.parse() };
        match text.strip_suffix('m') {
            Some(digits) => parse(digits).map(Self).map_err(|_| error()),
            None => parse(text)
                .ok()
                .and_then(|cores| cores.checked_mul(1000))
                .map(Self)
                .ok_or_else(error),
        }
    }
}

const BYTE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, factor) in BYTE_UNITS {
            if self.0.is_multiple_of(factor) && self.0 >= factor {
                return write!(f, "{}{name}", self.0 / factor);
            }
        }
        write!(f, "{}B", self.0)
    }
}

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error::new(text, "a size: use a number with B, KiB, MiB or GiB");
        let (digits, factor) = BYTE_UNITS
            .iter()
            .find_map(|(name, factor)| Some((text.strip_suffix(name)?, *factor)))
            .ok_or_else(error)?;
        let number: u64 = digits.parse().map_err(|_| error())?;
        number.checked_mul(factor).map(Self).ok_or_else(error)
    }
}

macro_rules! counts {
    ($($name:ident, $expected:literal;)*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                text.parse().map(Self).map_err(|_| Error::new(text, $expected))
            }
        }
    )*};
}

counts! {
    Accelerators, "a count of accelerators";
    Slots, "a count of slots";
    Connections, "a count of connections";
}

/// A fraction of a whole in thousandths, from 0 to 1000.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(u16);

impl Share {
    /// 0 % of the whole.
    pub const NONE: Self = Self(0);
    /// 100 % of the whole.
    pub const FULL: Self = Self(1000);

    /// Creates a share from `thousandths`, capped at [`Share::FULL`].
    pub fn new(thousandths: u16) -> Self {
        Self(thousandths.min(1000))
    }

    /// Creates a share from a fraction, clamped to 0 to 1.
    pub fn of(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * 1000.0).round() as u16)
    }

    /// Returns the share in thousandths.
    pub fn thousandths(self) -> u16 {
        self.0
    }

    /// Returns the share as a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(10) {
            write!(f, "{}%", self.0 / 10)
        } else {
            write!(f, "{}.{}%", self.0 / 10, self.0 % 10)
        }
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error::new(text, "a share: use a percentage from 0% to 100%");
        let number: f64 = text
            .strip_suffix('%')
            .and_then(|digits| digits.parse().ok())
            .ok_or_else(error)?;
        if (0.0..=100.0).contains(&number) {
            Ok(Self::of(number / 100.0))
        } else {
            Err(error())
        }
    }
}
