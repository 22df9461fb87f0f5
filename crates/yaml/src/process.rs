//! Settings that the entry and the agent share.

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

/// The minimum severity of logged events.
#[derive(Clone, Copy, Debug, Default, Display, EnumIter, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Level {
    /// Failures that need an operator.
    Error,
    /// Events that may become failures.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Details for debugging, such as decisions and broken links.
    Debug,
    /// Every message.
    Trace,
}

/// The files that a process authenticates with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tls {
    /// The certificate chain of the process, in PEM.
    pub certificate: PathBuf,
    /// The private key of the certificate, in PEM.
    pub key: PathBuf,
    /// The certificate of the private authority, in PEM.
    pub authority: PathBuf,
}

/// What a process logs, and where to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Log {
    /// The minimum severity of logged events.
    pub level: Level,
    /// The path of the log file, or `None` for standard error.
    pub file: Option<PathBuf>,
}

/// The default number of slices.
const DEFAULT_SLICES: u16 = 16;

/// Maximum number of slices; each costs its owner a journal and a manifest in
/// the store.
const MAX_SLICES: u16 = 4096;

/// Reads the key `slices`, the number of slices of the region.
pub fn slices(section: &mut Section<'_>, report: &mut Report) -> u16 {
    let Some(spanned) = section.optional::<u16>("slices", report) else {
        return DEFAULT_SLICES;
    };
    if !(1..=MAX_SLICES).contains(&spanned.value) {
        report.add(
            Code::Value,
            spanned.span,
            format!("`slices` must be from 1 to {MAX_SLICES}"),
            format!("use {DEFAULT_SLICES}, and the same number in every process of the region"),
        );
    }
    spanned.value
}

/// Reads the keys `tls` and `log` and resolves their paths against `base`.
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
    let certificate = check_readable(part.required("certificate", report), base, report);
    let key = check_readable(part.required("key", report), base, report);
    let authority = check_readable(part.required("authority", report), base, report);
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
        level: level.map_or_else(Level::default, |spanned| spanned.value),
        file: file.map(|spanned| base.join(spanned.value)),
    }
}

/// Resolves a path against `base`, and reports a fault if the file cannot be
/// opened.
fn check_readable(
    spanned: Option<Spanned<PathBuf>>,
    base: &Path,
    report: &mut Report,
) -> Option<PathBuf> {
    let spanned = spanned?;
    let path = base.join(&spanned.value);
    if let Err(error) = File::open(&path) {
        report.add(
            Code::Value,
            spanned.span,
            format!("the file {} cannot be read: {error}", path.display()),
            "correct the path, or create the file and let the process read it",
        );
        return None;
    }
    Some(path)
}
