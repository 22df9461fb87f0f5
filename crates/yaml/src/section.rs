//! Reads typed values from a mapping.

use crate::{
    document::{Entry, Node, Value},
    fault::{excerpt, Code, Report},
    scalar::{nearest, Scalar},
    source::Span,
};

/// A value with its position in the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spanned<T> {
    /// The parsed value.
    pub value: T,
    /// The position of the value.
    pub span: Span,
}

/// A mapping that is read key by key.
///
/// Each key that is looked up counts as known; [`Section::close`] reports the
/// others. A value that is absent or invalid reads as `None`, so that the
/// caller continues and finds the other faults too.
#[derive(Debug)]
pub struct Section<'a> {
    description: &'static str,
    path: String,
    span: Span,
    entries: &'a [Entry],
    known: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Reads `node` as a mapping, and reports a fault if it is none.
    /// `description` names the mapping with its article, such as `a service`.
    pub fn open(node: &'a Node, description: &'static str, report: &mut Report) -> Option<Self> {
        let Value::Map(entries) = &node.value else {
            report.add(
                Code::Shape,
                node.span,
                format!("{description} must be a mapping"),
                "write one KEY: VALUE a line",
            );
            return None;
        };
        Some(Self {
            description,
            path: String::new(),
            span: node.span,
            entries,
            known: Vec::new(),
        })
    }

    /// Returns the position of the mapping's start.
    pub fn span(&self) -> Span {
        self.span
    }

    /// Returns whether `key` is present, without counting it as known.
    pub fn contains(&self, key: &str) -> bool {
        self.entries.iter().any(|entry| &*entry.key == key)
    }

    /// Reads the value of `key`; its absence is a fault.
    pub fn required<T: Scalar>(
        &mut self,
        key: &'static str,
        report: &mut Report,
    ) -> Option<Spanned<T>> {
        match self.find(key, report) {
            Some(entry) => read_scalar(key, &entry.value, report),
            None => {
                self.missing(key, T::EXPECTED, report);
                None
            }
        }
    }

    /// Reads the value of `key` if it is present.
    pub fn optional<T: Scalar>(
        &mut self,
        key: &'static str,
        report: &mut Report,
    ) -> Option<Spanned<T>> {
        let entry = self.find(key, report)?;
        read_scalar(key, &entry.value, report)
    }

    /// Reads the list at `key`; an absent one is empty.
    pub fn list<T: Scalar>(&mut self, key: &'static str, report: &mut Report) -> Vec<Spanned<T>> {
        let Some(entry) = self.find(key, report) else {
            return Vec::new();
        };
        let Value::List(nodes) = &entry.value.value else {
            report.add(
                Code::Shape,
                display_span(&entry.value, entry.span),
                format!("`{key}` must be a list"),
                "write one value a line after `- `, or [A, B]",
            );
            return Vec::new();
        };
        nodes
            .iter()
            .filter_map(|node| read_scalar(key, node, report))
            .collect()
    }

    /// Reads the list at `key`, which must hold at least one value.
    pub fn required_list<T: Scalar>(
        &mut self,
        key: &'static str,
        report: &mut Report,
    ) -> Vec<Spanned<T>> {
        let items = self.list(key, report);
        match self.find(key, report) {
            None => self.missing(
                key,
                &format!("a list of at least one value, each {}", T::EXPECTED),
                report,
            ),
            Some(Entry { value, span, .. }) if value.value == Value::List(Vec::new()) => report
                .add(
                    Code::Value,
                    *span,
                    format!("`{key}` needs at least one value"),
                    format!("list {}", T::EXPECTED),
                ),
            Some(_) => {}
        }
        items
    }

    /// Reads the mapping at `key`. An absent one reads as empty, so that each of
    /// its missing keys is reported. `description` names the mapping with its
    /// article.
    pub fn section(
        &mut self,
        key: &'static str,
        description: &'static str,
        report: &mut Report,
    ) -> Option<Section<'a>> {
        let path = self.key_path(key);
        let section = match self.find(key, report) {
            Some(entry) => Section::open(&entry.value, description, report)?,
            None => Section {
                description,
                path: String::new(),
                span: self.span,
                entries: &[],
                known: Vec::new(),
            },
        };
        Some(Section { path, ..section })
    }

    /// Reports every key that was not looked up.
    pub fn close(self, report: &mut Report) {
        for entry in self.entries {
            if self.known.contains(&&*entry.key) {
                continue;
            }
            let fix = match nearest(&entry.key, self.known.iter().copied()) {
                Some(name) => format!("did you mean `{name}`?"),
                None => format!("use one of {}", self.known.join(", ")),
            };
            report.add(
                Code::UnknownKey,
                entry.span,
                format!("{} has no key `{}`", self.description, excerpt(&entry.key)),
                fix,
            );
        }
    }

    /// Reports that `key`, whose value should be `expected`, is missing.
    fn missing(&self, key: &str, expected: &str, report: &mut Report) {
        if report.is_truncated(self.span) {
            return;
        }
        let under = match self.path.as_str() {
            "" => String::new(),
            path => format!(" under `{path}:`"),
        };
        report.add(
            Code::MissingKey,
            Span {
                start: self.span.start,
                end: self.span.start,
            },
            format!("{} needs the key `{key}`", self.description),
            format!("add `{key}:`{under} with {expected}"),
        );
    }

    fn key_path(&self, key: &str) -> String {
        match self.path.as_str() {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        }
    }

    fn find(&mut self, key: &'static str, report: &mut Report) -> Option<&'a Entry> {
        if !self.known.contains(&key) {
            self.known.push(key);
            report.record_key(self.key_path(key));
        }
        self.entries.iter().find(|entry| &*entry.key == key)
    }
}

/// Returns the value without its span, and reports a fault if it is zero, which
/// is the default of every quantity.
pub fn positive<T: Default + PartialEq>(
    spanned: Option<Spanned<T>>,
    key: &str,
    report: &mut Report,
) -> Option<T> {
    let spanned = spanned?;
    if spanned.value == T::default() {
        report.add(
            Code::Value,
            spanned.span,
            format!("`{key}` must be more than zero"),
            "raise it, or remove the key if it has a default",
        );
    }
    Some(spanned.value)
}

/// Returns the span of a value, or that of its key if the value is empty.
fn display_span(node: &Node, key: Span) -> Span {
    match node.value {
        Value::Null => key,
        _ => node.span,
    }
}

fn read_scalar<T: Scalar>(key: &str, node: &Node, report: &mut Report) -> Option<Spanned<T>> {
    let Value::Scalar(text) = &node.value else {
        let found = match node.value {
            Value::Null => "nothing",
            Value::List(_) => "a list",
            _ => "a mapping",
        };
        report.add(
            Code::Shape,
            node.span,
            format!("`{key}` must be {}, not {found}", T::EXPECTED),
            format!("write it after `{key}:` in the same line"),
        );
        return None;
    };
    match text.parse() {
        Ok(value) => Some(Spanned {
            value,
            span: node.span,
        }),
        Err(_) => {
            report.add(
                Code::Value,
                node.span,
                format!("`{key}` must be {}, not `{}`", T::EXPECTED, excerpt(text)),
                T::fix(text),
            );
            None
        }
    }
}
