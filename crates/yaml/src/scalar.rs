//! Types that are read from scalars, with the texts of their faults.

use {
    crate::process::Level,
    filbertbend_state::{
        id,
        service::{Class, Kind},
        unit,
    },
    std::{fmt::Display, net::SocketAddr, path::PathBuf, str::FromStr},
    strum::IntoEnumIterator,
};

/// A type that is read from one scalar, with the texts of its faults.
pub trait Scalar: FromStr {
    /// Describes a valid value, with its article, such as `a span of time`.
    const EXPECTED: &'static str;

    /// Returns the proposed fix for `text`, which could not be parsed.
    fn fix(text: &str) -> String;
}

macro_rules! scalars {
    ($($type:ty, $expected:literal, $fix:literal;)*) => {$(
        impl Scalar for $type {
            const EXPECTED: &'static str = $expected;

            fn fix(_text: &str) -> String {
                $fix.to_owned()
            }
        }
    )*};
}

const NAME_FIX: &str = "use 1 to 64 of a-z, 0-9, `-`, `_` and `.`, starting with a letter or digit";

macro_rules! names {
    ($($type:ty, $expected:literal;)*) => {$(
        impl Scalar for $type {
            const EXPECTED: &'static str = $expected;

            fn fix(text: &str) -> String {
                let lower: String = text
                    .trim()
                    .chars()
                    .map(|c| if c == ' ' { '-' } else { c.to_ascii_lowercase() })
                    .collect();
                match Self::new(&lower) {
                    Ok(name) => format!("{NAME_FIX}, for example `{name}`"),
                    Err(_) => NAME_FIX.to_owned(),
                }
            }
        }
    )*};
}

names! {
    id::Entry, "an entry's name";
    id::Endpoint, "an endpoint's name";
    id::Worker, "a worker's name";
    id::DataCentre, "a data centre's name";
    id::Rack, "a rack's name";
    id::Region, "a region's name";
    id::Team, "a team's name";
    id::Service, "a service's name";
}

scalars! {
    bool, "true or false", "use true or false";
    u8, "a number from 0 to 255", "use digits only";
    u16, "a number from 0 to 65535", "use digits only";
    u32, "a number from 0 to 4294967295", "use digits only";
    unit::Accelerators, "a count of accelerators", "use a whole number, such as 1";
    unit::Slots, "a count of slots", "use a whole number, such as 8";
    unit::Connections, "a count of connections", "use a whole number, such as 64";
    SocketAddr, "an address", "use IP:PORT, such as 127.0.0.1:7400 or [::1]:7400";
    PathBuf, "a path", "give the path of a file";
}

impl Scalar for unit::Millis {
    const EXPECTED: &'static str = "a span of time";

    fn fix(text: &str) -> String {
        let compact: String = text.to_lowercase().split_whitespace().collect();
        let digits = compact.trim_end_matches(|c: char| !c.is_ascii_digit());
        let unit = match &compact[digits.len()..] {
            "ms" | "msec" | "millis" | "milliseconds" => "ms",
            "s" | "sec" | "secs" | "second" | "seconds" => "s",
            "m" | "min" | "mins" | "minute" | "minutes" => "m",
            "h" | "hr" | "hour" | "hours" => "h",
            _ => {
                return unit_fix(
                    text,
                    "ms",
                    "a whole number with ms, s, m or h, such as 800ms",
                )
            }
        };
        let repaired = format!("{digits}{unit}");
        match repaired.parse::<Self>() {
            Ok(_) => format!("write it as {repaired}"),
            Err(_) => "use a whole number with ms, s, m or h, such as 800ms".to_owned(),
        }
    }
}

impl Scalar for unit::Bytes {
    const EXPECTED: &'static str = "an amount of bytes";

    fn fix(text: &str) -> String {
        let compact: String = text.to_lowercase().split_whitespace().collect();
        let digits = compact.trim_end_matches(|c: char| !c.is_ascii_digit());
        let unit = match &compact[digits.len()..] {
            "b" | "byte" | "bytes" => "B",
            "k" | "kb" | "ki" | "kib" => "KiB",
            "m" | "mb" | "mi" | "mib" => "MiB",
            "g" | "gb" | "gi" | "gib" => "GiB",
            _ => {
                let expected = "a whole number with B, KiB, MiB or GiB, such as 4GiB";
                return unit_fix(text, "MiB", expected);
            }
        };
        let repaired = format!("{digits}{unit}");
        match repaired.parse::<Self>() {
            Ok(_) => format!("write it as {repaired}"),
            Err(_) => "use a whole number with B, KiB, MiB or GiB, such as 4GiB".to_owned(),
        }
    }
}

impl Scalar for unit::Cores {
    const EXPECTED: &'static str = "an amount of processor time";

    fn fix(text: &str) -> String {
        match text.parse::<f64>() {
            Ok(cores) if (0.001..1e6).contains(&cores) => {
                format!("write it as {}", Self((cores * 1000.0).round() as u64))
            }
            _ => "use a number of cores, such as 2, or thousandths, such as 500m".to_owned(),
        }
    }
}

impl Scalar for unit::Share {
    const EXPECTED: &'static str = "a percentage";

    fn fix(text: &str) -> String {
        if let Some(fraction) = text.parse().ok().filter(|part| (0.001..1.0).contains(part)) {
            return format!("write it as {}", Self::of(fraction));
        }
        let repaired = format!("{}%", text.trim());
        match repaired.parse::<Self>() {
            Ok(_) => format!("add the percent sign, as in {repaired}"),
            Err(_) => "use a percentage from 0% to 100%, such as 20%".to_owned(),
        }
    }
}

/// Returns the fix for a quantity whose unit is missing or not recognized.
fn unit_fix(text: &str, unit: &str, expected: &str) -> String {
    let number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    match number && text.len() <= 12 {
        true => format!("add the unit, for example {text}{unit}"),
        false => format!("use {expected}"),
    }
}

/// Returns the fix for a value that must be one of the names of an enum.
fn choice_fix<T: Display + IntoEnumIterator>(text: &str) -> String {
    let names: Vec<String> = T::iter().map(|choice| choice.to_string()).collect();
    match nearest(text, names.iter().map(String::as_str)) {
        Some(name) => format!("did you mean `{name}`?"),
        None => format!("use one of {}", names.join(", ")),
    }
}

impl Scalar for Class {
    const EXPECTED: &'static str = "a class";

    fn fix(text: &str) -> String {
        choice_fix::<Self>(text)
    }
}

impl Scalar for Level {
    const EXPECTED: &'static str = "a log level";

    fn fix(text: &str) -> String {
        choice_fix::<Self>(text)
    }
}

impl Scalar for Kind {
    const EXPECTED: &'static str = "a kind of service";

    fn fix(text: &str) -> String {
        choice_fix::<Self>(text)
    }
}

/// Returns the name with the smallest edit distance to `text`, if any is close.
pub fn nearest<'a>(text: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let text: String = text.chars().take(64).collect();
    names
        .map(|name| (strsim::damerau_levenshtein(&text, name), name))
        .filter(|(distance, name)| *distance <= (name.len() / 3).max(1))
        .min()
        .map(|(_, name)| name)
}
