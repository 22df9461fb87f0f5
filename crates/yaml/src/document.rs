//! Parses YAML text into nodes with their positions.

use {
    crate::{
        fault::{excerpt, Code, Fault, Report},
        source::{Source, Span},
    },
    saphyr_parser::{Event, Parser, ScalarStyle},
    std::{path::Path, sync::Arc},
};

/// Maximum nesting depth of mappings and lists.
pub const DEPTH_LIMIT: usize = 16;

/// Maximum number of values in a file. It bounds the time that a file full of
/// faults takes, since computing the position of a fault scans the file.
pub const NODE_LIMIT: usize = 10_000;

/// A key of a mapping with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The text of the key.
    pub key: Arc<str>,
    /// The position of the key.
    pub span: Span,
    /// The value of the key.
    pub value: Node,
}

/// The content of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// No value, such as after a key without text.
    Null,
    /// Text, a number or a boolean, as written in the file.
    Scalar(Arc<str>),
    /// A list with its items in order.
    List(Vec<Node>),
    /// A mapping; of entries with equal keys, it holds only the first.
    Map(Vec<Entry>),
}

/// A value with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// The content of the node.
    pub value: Value,
    /// The position of the value; for a list or a mapping, where it starts.
    pub span: Span,
}

/// Parses all documents of the report's file.
///
/// After a syntax error, returns the documents before it, the last one with the
/// part that precedes the error, so that other faults are found in the same
/// run. The error and all unsupported YAML are added to `report`.
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
        if builder.handle_event(event, span, report).is_err() {
            break;
        }
    }
    builder.finish(report)
}

/// Reads a file that holds one document. `read` converts the document; it also
/// gets the directory that relative paths are resolved against. `description`
/// names the file with its article, for messages.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn load<T>(
    path: impl AsRef<Path>,
    description: &str,
    read: impl FnOnce(&Node, &Path, &mut Report) -> Option<T>,
) -> Result<T, Vec<Fault>> {
    let path = path.as_ref();
    let name = path.display().to_string();
    let source = Source::read(name.as_str(), path)
        .map_err(|error| vec![Fault::unreadable(name.as_str(), error)])?;
    let base = path.parent().unwrap_or(Path::new(""));
    let mut report = Report::new(Arc::new(source));
    let value =
        parse_single(&mut report, description).and_then(|root| read(&root, base, &mut report));
    match value {
        Some(value) if report.is_empty() => Ok(value),
        _ => Err(report.into_faults()),
    }
}

/// Returns the paths of all keys that `read` looks up, such as
/// `tls.certificate`, by calling it with an empty mapping.
pub fn keys<T>(read: impl FnOnce(&Node, &Path, &mut Report) -> Option<T>) -> Vec<String> {
    let mut report = Report::new(Arc::new(Source::new("", "")));
    let root = Node {
        value: Value::Map(Vec::new()),
        span: Span::default(),
    };
    read(&root, Path::new(""), &mut report);
    report.keys().map(str::to_owned).collect()
}

/// Parses a file that must hold exactly one document. `description` names the
/// file with its article, for messages.
fn parse_single(report: &mut Report, description: &str) -> Option<Node> {
    let mut documents = parse(report).into_iter();
    let first = documents.next();
    if let Some(second) = documents.next() {
        report.add(
            Code::Unsupported,
            second.span,
            format!("{description} must be one document"),
            "remove the `---` and what follows it",
        );
    }
    if first.is_none() && report.is_empty() {
        report.add(
            Code::Empty,
            Span::default(),
            format!("{description} is empty"),
            "see docs/operators.md for an example",
        );
    }
    first
}

/// Converts the parser's character indices to byte offsets.
struct Offsets {
    /// The byte offset of each character; empty if the text is ASCII.
    bytes: Vec<usize>,
    /// The length of the text, in bytes.
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

/// A list or mapping whose end has not been parsed yet.
enum Open {
    List(Span, Vec<Node>),
    Map(Span, Vec<Entry>, Option<Key>),
}

/// A key whose value is not parsed yet; the text is absent if the key is not a
/// scalar.
struct Key {
    text: Option<Arc<str>>,
    span: Span,
}

/// The file exceeds a limit, so the rest of it is not parsed.
struct LimitExceeded;

/// Builds nodes from parser events without recursion, so that deep nesting
/// cannot overflow the stack.
#[derive(Default)]
struct Builder {
    stack: Vec<Open>,
    documents: Vec<Node>,
    node_count: usize,
}

impl Builder {
    fn handle_event(
        &mut self,
        event: Event<'_>,
        span: Span,
        report: &mut Report,
    ) -> Result<(), LimitExceeded> {
        match event {
            Event::Scalar(text, style, _anchor, _tag) => {
                let null = style == ScalarStyle::Plain && matches!(&*text, "" | "~" | "null");
                let value = match null {
                    true => Value::Null,
                    false => Value::Scalar(text.as_ref().into()),
                };
                self.add_node(Node { value, span }, report)
            }
            Event::Alias(_) => {
                report.add(
                    Code::Unsupported,
                    span,
                    "aliases are not accepted",
                    "write the value out",
                );
                let value = Value::Null;
                self.add_node(Node { value, span }, report)
            }
            Event::SequenceStart(..) => self.push(Open::List(span, Vec::new()), span, report),
            Event::MappingStart(..) => self.push(Open::Map(span, Vec::new(), None), span, report),
            Event::SequenceEnd | Event::MappingEnd => self.pop(report),
            _ => Ok(()),
        }
    }

    fn push(&mut self, open: Open, span: Span, report: &mut Report) -> Result<(), LimitExceeded> {
        if self.stack.len() >= DEPTH_LIMIT {
            report.add(
                Code::Limit,
                span,
                format!("the file nests more than {DEPTH_LIMIT} levels deep"),
                "flatten the file; no key needs more than 3 levels",
            );
            return Err(LimitExceeded);
        }
        self.stack.push(open);
        Ok(())
    }

    /// Returns the documents. One that is not complete is closed at the last
    /// event.
    fn finish(mut self, report: &mut Report) -> Vec<Node> {
        if let Some(Open::List(span, _) | Open::Map(span, ..)) = self.stack.first() {
            report.mark_truncated(*span);
        }
        while !self.stack.is_empty() && self.pop(report).is_ok() {}
        self.documents
    }

    fn pop(&mut self, report: &mut Report) -> Result<(), LimitExceeded> {
        let node = match self.stack.pop() {
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
        self.add_node(node, report)
    }

    fn add_node(&mut self, node: Node, report: &mut Report) -> Result<(), LimitExceeded> {
        self.node_count += 1;
        if self.node_count > NODE_LIMIT {
            report.add(
                Code::Limit,
                node.span,
                format!("the file holds more than {NODE_LIMIT} values"),
                "split the file",
            );
            return Err(LimitExceeded);
        }
        match self.stack.last_mut() {
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
