//! Parses YAML text into nodes that know their positions.

use {
    crate::{
        fault::{excerpt, Code, Fault, Report},
        source::{Source, Span},
    },
    saphyr_parser::{Event, Parser, ScalarStyle},
    std::{path::Path, sync::Arc},
};

/// Deepest nesting of mappings and lists that is accepted.
pub const DEPTH_LIMIT: usize = 16;

/// Most values that a file may hold. It bounds the time that a file of nothing
/// but faults takes, since each fault searches the file for its position.
pub const NODE_LIMIT: usize = 10_000;

/// A key of a mapping with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key's text.
    pub key: Arc<str>,
    /// Where the key is.
    pub span: Span,
    /// The value.
    pub value: Node,
}

/// What a node holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// No value, such as after a key without text.
    Null,
    /// Text, a number or a truth value, as it was written.
    Scalar(Arc<str>),
    /// A list.
    List(Vec<Node>),
    /// A mapping, without the second of two equal keys.
    Map(Vec<Entry>),
}

/// A value and where it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// The value.
    pub value: Value,
    /// Where it is; for a list or a mapping, where it starts.
    pub span: Span,
}

/// Parses all documents of the report's file.
///
/// Documents are returned up to a syntax error, the last one with what precedes
/// the error, so that other faults are found in the same run. The error itself
/// and everything that is not accepted goes to `report`.
pub fn parse(report: &mut Report) -> Vec<Node> {
    let file = report.file().clone();
    let offsets = Offsets::new(file.text());
    let mut builder = Builder::default();
    let mut parser = Parser::new_from_str(file.text());
    while let Some(next) = parser.next_event() {
        let (event, span) = match next {
            Ok((event, span)) => (event, offsets.span(span.start.index(), span.end.index())),
            Err(error) => {
                let at = offsets.span(error.marker().index(), error.marker().index());
                report.add(
                    Code::Syntax,
                    at,
                    format!("the file is not valid YAML: {}", error.info()),
                    "check the indentation, the quotes and the colons near here",
                );
                break;
            }
        };
        if matches!(event, Event::StreamEnd) {
            break;
        }
        if builder.event(event, span, report).is_err() {
            break;
        }
    }
    builder.finish(report)
}

/// Reads a file of one mapping with `read`, which gets the document and the
/// folder that relative paths start at.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn load<T>(
    path: impl AsRef<Path>,
    what: &str,
    read: impl FnOnce(&Node, &Path, &mut Report) -> Option<T>,
) -> Result<T, Vec<Fault>> {
    let path = path.as_ref();
    let name = path.display().to_string();
    let source = Source::read(name.as_str(), path)
        .map_err(|error| vec![Fault::unreadable(name.as_str(), error)])?;
    let base = path.parent().unwrap_or(Path::new(""));
    let mut report = Report::new(Arc::new(source));
    let value = single(&mut report, what).and_then(|root| read(&root, base, &mut report));
    match value {
        Some(value) if report.is_empty() => Ok(value),
        _ => Err(report.into_faults()),
    }
}

/// Returns the path of every key that `read` asks for, such as
/// `tls.certificate`.
pub fn keys<T>(read: impl FnOnce(&Node, &Path, &mut Report) -> Option<T>) -> Vec<String> {
    let mut report = Report::new(Arc::new(Source::new("", "")));
    let root = Node {
        value: Value::Map(Vec::new()),
        span: Span::default(),
    };
    read(&root, Path::new(""), &mut report);
    report.keys().map(str::to_owned).collect()
}

/// Parses a file of exactly one document; `what` names it with its article.
fn single(report: &mut Report, what: &str) -> Option<Node> {
    let mut documents = parse(report).into_iter();
    let first = documents.next();
    if let Some(second) = documents.next() {
        report.add(
            Code::Unsupported,
            second.span,
            format!("{what} must be one document"),
            "remove the `---` and what follows it",
        );
    }
    if first.is_none() && report.is_empty() {
        report.add(
            Code::Empty,
            Span::default(),
            format!("{what} is empty"),
            "see docs/operators.md for an example",
        );
    }
    first
}

/// Translates character indices of the parser into byte offsets.
struct Offsets {
    bytes: Vec<usize>,
    len: usize,
}

impl Offsets {
    fn new(text: &str) -> Self {
        let bytes = match text.is_ascii() {
            true => Vec::new(),
            false => text.char_indices().map(|(offset, _)| offset).collect(),
        };
        let len = text.len();
        Self { bytes, len }
    }

    fn byte(&self, index: usize) -> usize {
        match self.bytes.is_empty() {
            true => index.min(self.len),
            false => self.bytes.get(index).copied().unwrap_or(self.len),
        }
    }

    fn span(&self, start: usize, end: usize) -> Span {
        Span {
            start: self.byte(start),
            end: self.byte(end.max(start)),
        }
    }
}

/// A list or mapping whose end was not reached yet.
enum Open {
    List(Span, Vec<Node>),
    Map(Span, Vec<Entry>, Option<Key>),
}

/// A key that waits for its value; the text is absent if it is not a scalar.
struct Key {
    text: Option<Arc<str>>,
    span: Span,
}

/// Signals that the rest of the file is not worth reading.
struct Stop;

/// Builds nodes from events without recursion, so that nesting cannot exhaust
/// the stack.
#[derive(Default)]
struct Builder {
    open: Vec<Open>,
    documents: Vec<Node>,
    nodes: usize,
}

impl Builder {
    fn event(&mut self, event: Event<'_>, span: Span, report: &mut Report) -> Result<(), Stop> {
        match event {
            Event::Scalar(text, style, _anchor, _tag) => {
                let null = style == ScalarStyle::Plain && matches!(&*text, "" | "~" | "null");
                let value = match null {
                    true => Value::Null,
                    false => Value::Scalar(text.as_ref().into()),
                };
                self.node(Node { value, span }, report)
            }
            Event::Alias(_) => {
                report.add(
                    Code::Unsupported,
                    span,
                    "aliases are not accepted",
                    "write the value out",
                );
                let value = Value::Null;
                self.node(Node { value, span }, report)
            }
            Event::SequenceStart(..) => self.enter(Open::List(span, Vec::new()), span, report),
            Event::MappingStart(..) => self.enter(Open::Map(span, Vec::new(), None), span, report),
            Event::SequenceEnd | Event::MappingEnd => self.leave(report),
            _ => Ok(()),
        }
    }

    fn enter(&mut self, open: Open, span: Span, report: &mut Report) -> Result<(), Stop> {
        if self.open.len() >= DEPTH_LIMIT {
            report.add(
                Code::Limit,
                span,
                format!("the file nests more than {DEPTH_LIMIT} levels deep"),
                "flatten the file; no key needs more than 3 levels",
            );
            return Err(Stop);
        }
        self.open.push(open);
        Ok(())
    }

    /// Returns the documents; one that did not end is closed where it stops.
    fn finish(mut self, report: &mut Report) -> Vec<Node> {
        if let Some(Open::List(span, _) | Open::Map(span, ..)) = self.open.first() {
            report.cut_off(*span);
        }
        while !self.open.is_empty() && self.leave(report).is_ok() {}
        self.documents
    }

    fn leave(&mut self, report: &mut Report) -> Result<(), Stop> {
        let node = match self.open.pop() {
            Some(Open::List(span, nodes)) => Node {
                value: Value::List(nodes),
                span,
            },
            Some(Open::Map(span, entries, _)) => Node {
                value: Value::Map(entries),
                span,
            },
            None => return Ok(()),
        };
        self.node(node, report)
    }

    fn node(&mut self, node: Node, report: &mut Report) -> Result<(), Stop> {
        self.nodes += 1;
        if self.nodes > NODE_LIMIT {
            report.add(
                Code::Limit,
                node.span,
                format!("the file holds more than {NODE_LIMIT} values"),
                "split the file",
            );
            return Err(Stop);
        }
        match self.open.last_mut() {
            None => self.documents.push(node),
            Some(Open::List(_, nodes)) => nodes.push(node),
            Some(Open::Map(_, entries, key)) => match key.take() {
                None => *key = Some(read_key(node, report)),
                Some(key) => add_entry(entries, key, node, report),
            },
        }
        Ok(())
    }
}

fn read_key(node: Node, report: &mut Report) -> Key {
    let text = match node.value {
        Value::Scalar(text) => Some(text),
        _ => {
            report.add(
                Code::Shape,
                node.span,
                "a key must be plain text",
                "write KEY: VALUE",
            );
            None
        }
    };
    Key {
        text,
        span: node.span,
    }
}

fn add_entry(entries: &mut Vec<Entry>, key: Key, value: Node, report: &mut Report) {
    let Some(text) = key.text else {
        return;
    };
    if let Some(first) = entries.iter().find(|entry| entry.key == text) {
        let (line, _) = report.file().position(first.span.start);
        report.add(
            Code::DuplicateKey,
            key.span,
            format!("the key `{}` is already set in line {line}", excerpt(&text)),
            "remove one of the two",
        );
        return;
    }
    entries.push(Entry {
        key: text,
        span: key.span,
        value,
    });
}
