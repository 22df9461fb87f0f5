//! Source files in memory, and byte ranges within them.

use {
    miette::{MietteError, MietteSpanContents, SourceCode, SourceOffset, SourceSpan, SpanContents},
    std::{
        fs::File,
        io::{self, Read},
        path::Path,
        sync::Arc,
    },
};

/// Maximum size of a file, in bytes. A declaration takes a few hundred bytes, so
/// a larger file was not written by hand.
pub const FILE_LIMIT_BYTES: u64 = 256 * 1024;

/// Why a file could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be opened or read.
    #[error("the file cannot be read: {0}")]
    Io(#[from] io::Error),
    /// The file exceeds [`FILE_LIMIT_BYTES`].
    #[error("the file is larger than {FILE_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The file is not UTF-8.
    #[error("the file is not UTF-8 text")]
    NotText,
}

/// A range of bytes in a [`Source`].
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Span {
    /// The offset of the first byte.
    pub start: usize,
    /// The offset after the last byte.
    pub end: usize,
}

impl From<Span> for SourceSpan {
    fn from(span: Span) -> Self {
        Self::new(
            SourceOffset::from(span.start),
            span.end.saturating_sub(span.start),
        )
    }
}

/// The name and the text of one file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Source {
    name: Arc<str>,
    text: Arc<str>,
}

impl Source {
    /// Creates a source from text that is already in memory.
    pub fn new(name: impl Into<Arc<str>>, text: impl Into<Arc<str>>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }

    /// Reads the file at `path`, which faults call `name`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the file cannot be read, is too large or is not
    /// UTF-8.
    pub fn read(name: impl Into<Arc<str>>, path: impl AsRef<Path>) -> Result<Self, Error> {
        let mut bytes = Vec::new();
        File::open(path)?
            .take(FILE_LIMIT_BYTES + 1)
            .read_to_end(&mut bytes)?;
        if bytes.len() as u64 > FILE_LIMIT_BYTES {
            return Err(Error::TooLarge);
        }
        let text = String::from_utf8(bytes).map_err(|_| Error::NotText)?;
        Ok(Self::new(name, text))
    }

    /// Returns the name of the file in faults.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the content of the file.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the line and the column of the byte at `offset`, both from 1. The
    /// column counts characters, as editors do.
    pub fn position(&self, offset: usize) -> (usize, usize) {
        let before = self.text.get(..offset).unwrap_or(&self.text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.matches('\n').count() + 1;
        (line, before[line_start..].chars().count() + 1)
    }
}

impl SourceCode for Source {
    fn read_span<'a>(
        &'a self,
        span: &SourceSpan,
        before: usize,
        after: usize,
    ) -> Result<Box<dyn SpanContents<'a> + 'a>, MietteError> {
        let contents = self.text.read_span(span, before, after)?;
        Ok(Box::new(MietteSpanContents::new_named(
            self.name.to_string(),
            contents.data(),
            *contents.span(),
            contents.line(),
            contents.column(),
            contents.line_count(),
        )))
    }
}
