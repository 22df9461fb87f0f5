//! Prints results and failures as text or as JSON.

use {
    super::{audit::AuditRecord, failure::Failure, Exit, Format, MAX_WIDTH},
    filbertbend_yaml::fault::Record,
    miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme},
    serde::Serialize,
    std::{
        env,
        io::{self, IsTerminal, Stderr, Stdout, Write},
    },
};

/// Prints the results and failures of a command. Write errors are ignored,
/// because a reader that closed the pipe does not make the command fail.
pub struct Printer<O, E> {
    format: Format,
    out: O,
    err: E,
    reports: GraphicalReportHandler,
}

/// The JSON output for a failure.
#[derive(Serialize)]
struct FailureOutput<'a> {
    outcome: String,
    message: String,
    fix: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<&'a AuditRecord>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    faults: Vec<Record>,
}

impl Printer<Stdout, Stderr> {
    /// Creates a printer to standard output and standard error. Reports have
    /// colours if standard error is a terminal and `NO_COLOR` is not set.
    pub fn stdio(format: Format) -> Self {
        let colours = io::stderr().is_terminal() && env::var_os("NO_COLOR").is_none();
        let theme = match colours {
            true => GraphicalTheme::unicode(),
            false => GraphicalTheme::unicode_nocolor(),
        };
        Self::new(format, io::stdout(), io::stderr(), theme)
    }
}

impl<O: Write, E: Write> Printer<O, E> {
    /// Creates a printer of results to `out` and of reports to `err`.
    pub fn new(format: Format, out: O, err: E, theme: GraphicalTheme) -> Self {
        Self {
            format,
            out,
            err,
            reports: GraphicalReportHandler::new_themed(theme)
                .with_width(MAX_WIDTH)
                .with_links(false),
        }
    }

    /// Returns the two writers, so that tests can inspect the output.
    pub fn into_parts(self) -> (O, E) {
        (self.out, self.err)
    }

    /// Prints text if the output format is text.
    pub(super) fn text(&mut self, text: impl AsRef<str>) {
        if self.format == Format::Text {
            let _ = writeln!(self.out, "{}", text.as_ref());
        }
    }

    /// Prints a value on one line if the output format is JSON.
    pub(super) fn json(&mut self, value: &impl Serialize) {
        if self.format == Format::Json {
            let line = serde_json::to_string(value).unwrap_or_default();
            let _ = writeln!(self.out, "{line}");
        }
    }

    /// Reports a failure and returns its exit code.
    pub(super) fn fail(&mut self, failure: Failure) -> Exit {
        let exit = failure.exit();
        match self.format {
            Format::Text => {
                for fault in failure.faults() {
                    self.report(fault);
                }
                self.report(&failure);
            }
            Format::Json => self.json(&FailureOutput {
                outcome: exit.to_string(),
                message: failure.to_string(),
                fix: failure.help().map(|fix| fix.to_string()),
                winner: failure.winner(),
                faults: failure
                    .faults()
                    .iter()
                    .map(|fault| fault.record())
                    .collect(),
            }),
        }
        exit
    }

    fn report(&mut self, diagnostic: &dyn Diagnostic) {
        let mut text = String::new();
        if self.reports.render_report(&mut text, diagnostic).is_err() {
            text = diagnostic.to_string();
        }
        let _ = writeln!(self.err, "{}\n", text.trim_end());
    }
}
