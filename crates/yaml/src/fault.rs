//! Faults found in a file, and the report that collects them.

use {
    crate::source::{Source, Span},
    miette::{Diagnostic, LabeledSpan, Severity, SourceCode},
    serde::Serialize,
    std::{collections::BTreeSet, fmt, sync::Arc},
    strum::{Display, IntoStaticStr},
};

/// Maximum length of an excerpt of a file's text in a message, in characters.
const EXCERPT_LIMIT_CHARS: usize = 64;

/// The kind of a fault, for scripts that read the JSON output.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Code {
    /// The file cannot be read.
    Unreadable,
    /// The file is not valid YAML.
    Syntax,
    /// The file uses a YAML feature that is not supported.
    Unsupported,
    /// The file is nested too deeply or holds too many values.
    Limit,
    /// A value has the wrong shape, such as a list instead of text.
    Shape,
    /// A mapping has a key that is not defined for it.
    UnknownKey,
    /// A required key is missing.
    MissingKey,
    /// A key occurs twice in one mapping.
    DuplicateKey,
    /// A value is not valid for its key.
    Value,
    /// A name is declared twice.
    Duplicate,
    /// Two values contradict each other.
    Conflict,
    /// Guaranteed shares add up to more than the whole.
    ShareExceeded,
    /// The file has no content.
    Empty,
}

/// One fault with its position and a proposed fix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The kind of the fault.
    pub code: Code,
    /// What is wrong, in one sentence without a full stop.
    pub message: Arc<str>,
    /// How to fix it, in one clause without a full stop.
    pub fix: Arc<str>,
    /// The file that has the fault.
    pub file: Arc<Source>,
    /// The position of the fault, or `None` if it concerns the whole file.
    pub span: Option<Span>,
}

impl Fault {
    /// Creates the fault for a file that could not be read at all.
    pub fn unreadable(name: impl Into<Arc<str>>, message: impl fmt::Display) -> Self {
        Self {
            code: Code::Unreadable,
            message: message.to_string().into(),
            fix: "check the path, its permissions and its size".into(),
            file: Arc::new(Source::new(name, "")),
            span: None,
        }
    }

    /// Returns the line and the column, both from 1.
    pub fn position(&self) -> Option<(usize, usize)> {
        self.span.map(|span| self.file.position(span.start))
    }

    /// Returns the fault as a record for the JSON output.
    pub fn record(&self) -> Record {
        let (line, column) = self.position().unzip();
        Record {
            file: self.file.name().clone(),
            line,
            column,
            code: self.code,
            message: self.message.clone(),
            fix: self.fix.clone(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.span {
            Some(_) => f.write_str(&self.message),
            None => write!(f, "{}: {}", self.file.name(), self.message),
        }
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.code))
    }

    fn severity(&self) -> Option<Severity> {
        Some(Severity::Error)
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.fix))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.span.map(|_| &*self.file as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let span = self.span?;
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), span);
        Some(Box::new(std::iter::once(label)))
    }
}

/// The JSON form of a [`Fault`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The name of the file.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: Option<usize>,
    /// The column in characters, from 1.
    pub column: Option<usize>,
    /// The kind of the fault.
    pub code: Code,
    /// What is wrong.
    pub message: Arc<str>,
    /// How to fix it.
    pub fix: Arc<str>,
}

/// The faults found in one file so far.
#[derive(Debug)]
pub struct Report {
    file: Arc<Source>,
    faults: Vec<Fault>,
    /// The paths of all keys that were looked up.
    keys: BTreeSet<String>,
    /// The start of the document that a syntax error ended early.
    truncated: Option<Span>,
}

impl Report {
    /// Creates an empty report on `file`.
    pub fn new(file: Arc<Source>) -> Self {
        Self {
            file,
            faults: Vec::new(),
            keys: BTreeSet::new(),
            truncated: None,
        }
    }

    /// Returns the file that the report is about.
    pub fn file(&self) -> &Arc<Source> {
        &self.file
    }

    /// Adds a fault at `span`.
    pub fn add(
        &mut self,
        code: Code,
        span: Span,
        message: impl Into<Arc<str>>,
        fix: impl Into<Arc<str>>,
    ) {
        self.faults.push(Fault {
            code,
            message: message.into(),
            fix: fix.into(),
            file: self.file.clone(),
            span: Some(span),
        });
    }

    /// Marks the document that starts at `span` as ended early by an error.
    /// Missing keys are not reported for it, because they may follow the error.
    pub(crate) fn mark_truncated(&mut self, span: Span) {
        self.truncated = Some(span);
    }

    /// Returns whether the document that contains `span` ended early.
    pub(crate) fn is_truncated(&self, span: Span) -> bool {
        self.truncated
            .is_some_and(|start| start.start <= span.start)
    }

    /// Records that the key at `path` was looked up.
    pub(crate) fn record_key(&mut self, path: String) {
        self.keys.insert(path);
    }

    /// Returns the paths of all keys that were looked up so far, such as
    /// `tls.certificate`. A test compares the documentation with them.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.keys.iter().map(String::as_str)
    }

    /// Returns whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Returns the faults in the order of their positions.
    pub fn into_faults(mut self) -> Vec<Fault> {
        self.faults.sort_by_key(|fault| fault.span);
        self.faults
    }
}

/// Truncates and escapes a file's text before it is quoted in a message.
pub fn excerpt(text: impl AsRef<str>) -> String {
    let text = text.as_ref();
    let mut excerpt: String = text
        .chars()
        .take(EXCERPT_LIMIT_CHARS)
        .flat_map(char::escape_debug)
        .collect();
    if text.chars().nth(EXCERPT_LIMIT_CHARS).is_some() {
        excerpt.push('…');
    }
    excerpt
}
