//! Settings that the entry and the agent have in common.

use {
    crate::{
        fault::{Code, Report},
        section::{Section, Spanned},
    },
    std::{
        fs::File,
        path::{Path, PathBuf},
    },
    strum::{Display, EnumIter, EnumString},
};

/// The least important events that are logged.
#[derive(Clone, Copy, Debug, Default, Display, EnumIter, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Level {
    /// Failures that need an operator.
    Error,
    /// Events that may become failures.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions.
    Debug,
    /// Every message.
    Trace,
}

/// The files that identify a process to the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tls {
    /// The certificate chain of the process, in PEM.
    pub certificate: PathBuf,
    /// Its private key, in PEM.
    pub key: PathBuf,
    /// The certificate of the private authority, in PEM.
    pub authority: PathBuf,
}

/// Where and what a process logs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Log {
    /// The least important events that are logged.
    pub level: Level,
    /// The file, or `None` for standard error.
    pub file: Option<PathBuf>,
}

/// The number of slices when the settings name none.
const SLICES: u16 = 16;

/// Most slices; each costs its owner a journal and a manifest in the store.
const SLICES_CEILING: u16 = 4096;

/// Reads the key `slices`, the number of slices of the region.
pub fn slices(section: &mut Section<'_>, report: &mut Report) -> u16 {
    let Some(spot) = section.optional::<u16>("slices", report) else {
        return SLICES;
    };
    if !(1..=SLICES_CEILING).contains(&spot.value) {
        report.add(
            Code::Value,
            spot.span,
            format!("`slices` must be from 1 to {SLICES_CEILING}"),
            format!("use {SLICES}, and the same number in every process of the region"),
        );
    }
    spot.value
}

/// Reads the keys `tls` and `log` and makes their paths relative to `base`.
///
/// A TLS file that cannot be opened is a fault.
pub fn read(
    section: &mut Section<'_>,
    base: impl AsRef<Path>,
    report: &mut Report,
) -> (Option<Tls>, Log) {
    let base = base.as_ref();
    let tls = read_tls(section, base, report);
    (tls, read_log(section, base, report))
}

fn read_tls(section: &mut Section<'_>, base: &Path, report: &mut Report) -> Option<Tls> {
    let mut part = section.section("tls", "the section `tls`", report)?;
    let certificate = readable(part.required("certificate", report), base, report);
    let key = readable(part.required("key", report), base, report);
    let authority = readable(part.required("authority", report), base, report);
    part.close(report);
    Some(Tls {
        certificate: certificate?,
        key: key?,
        authority: authority?,
    })
}

fn read_log(section: &mut Section<'_>, base: &Path, report: &mut Report) -> Log {
    let Some(mut part) = section.section("log", "the section `log`", report) else {
        return Log::default();
    };
    let level = part.optional::<Level>("level", report);
    let file = part.optional::<PathBuf>("file", report);
    part.close(report);
    Log {
        level: level.map_or_else(Level::default, |spot| spot.value),
        file: file.map(|spot| base.join(spot.value)),
    }
}

/// Resolves a path and reports it if the file cannot be opened.
fn readable(spot: Option<Spanned<PathBuf>>, base: &Path, report: &mut Report) -> Option<PathBuf> {
    let spot = spot?;
    let path = base.join(&spot.value);
    if let Err(error) = File::open(&path) {
        report.add(
            Code::Value,
            spot.span,
            format!("the file {} cannot be read: {error}", path.display()),
            "correct the path, or create the file and let the process read it",
        );
        return None;
    }
    Some(path)
}
