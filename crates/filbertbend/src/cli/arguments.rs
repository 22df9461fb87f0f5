//! The command-line arguments and help texts of every command.

use {
    bpaf::{construct, long, positional, OptionParser, Parser},
    filbertbend_state::id,
    std::{net::SocketAddr, path::PathBuf, str::FromStr, sync::Arc},
    strum::{Display, EnumString},
};

/// Longest name of an author, in characters.
const AUTHOR_LIMIT_CHARS: usize = 64;

/// Default of `audit --limit`.
const DEFAULT_AUDIT_LIMIT: usize = 50;

/// Default of `--entry` in `status` and `explain`. It equals the default of
/// `addresses.operators` in the settings of an entry.
const DEFAULT_ENTRY: &str = "127.0.0.1:8081";

/// Output format of a command.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Plain text for people.
    #[default]
    Text,
    /// One JSON object, for scripts.
    Json,
}

/// Where a command gets the address of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Location {
    /// An address given with `--store`.
    Address(SocketAddr),
    /// An entry's settings file, which lists the store's addresses.
    Settings(PathBuf),
}

/// A command of the executable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Runs the entry process.
    Serve {
        /// Path of the settings file.
        settings: PathBuf,
        /// Whether to only check the settings file and exit.
        check: bool,
    },
    /// Runs an operator's command.
    Operate(Operation),
}

/// An operator's command and its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Checks scheduling files.
    Check {
        /// The folder that holds them.
        folder: PathBuf,
    },
    /// Publishes scheduling files.
    Publish {
        /// The folder that holds them.
        folder: PathBuf,
        /// The revision that must be in force for the publish to go ahead.
        expect: Option<id::Revision>,
        /// Whether to show the difference and publish nothing.
        dry_run: bool,
    },
    /// Lists the published changes.
    Audit {
        /// Maximum number of changes to list.
        limit: usize,
    },
    /// Shows the state of an entry.
    Status {
        /// Address at which the entry serves operators.
        entry: SocketAddr,
    },
    /// Shows the state of a job and the reason for it.
    Explain {
        /// Id of the job or order.
        job: id::Job,
        /// Address at which any entry of the region serves operators.
        entry: SocketAddr,
    },
    /// Stops giving new work to an endpoint.
    Drain {
        /// Name of the endpoint.
        endpoint: id::Endpoint,
    },
    /// Gives a drained endpoint work again.
    Undrain {
        /// Name of the endpoint.
        endpoint: id::Endpoint,
    },
}

/// The parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arguments {
    /// The command to run.
    pub command: Command,
    /// Output format of the result and of failures.
    pub format: Format,
    /// The store; `None` for commands that do not use it.
    pub store: Option<Location>,
    /// Value of `--author`; always `None` for commands that do not publish.
    pub author: Option<Arc<str>>,
}

/// Returns the command-line parser.
pub fn arguments() -> OptionParser<Arguments> {
    let serve = serve().command("serve");
    let check = check().command("check");
    let publish = publish().command("publish");
    let audit = audit().command("audit");
    let status = status().command("status");
    let explain = explain().command("explain");
    let drain = drain().command("drain");
    let undrain = undrain().command("undrain");
    construct!([serve, check, publish, audit, status, explain, drain, undrain])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Schedules latency-critical and batch work on the same instances.")
        .footer(
            "Exit codes: 0 done, 1 failed, 2 usage or faulty file, 3 lost the race, \
             4 unknown outcome, 5 store unavailable.",
        )
        .fallback_to_usage()
}

fn serve() -> OptionParser<Arguments> {
    let settings = long("settings")
        .help("Settings file of the entry")
        .argument::<PathBuf>("FILE");
    let check = long("check")
        .help("Report the faults of the settings file and exit")
        .switch();
    let format = format();
    construct!(settings, check, format)
        .map(|(settings, check, format)| no_store(Command::Serve { settings, check }, format))
        .to_options()
        .descr("Runs the entry process until SIGTERM")
        .footer(examples(&[
            "filbertbend serve --settings /etc/filbertbend/entry.yaml",
        ]))
}

fn check() -> OptionParser<Arguments> {
    let format = format();
    let folder = folder();
    construct!(format, folder)
        .map(|(format, folder)| no_store(Command::Operate(Operation::Check { folder }), format))
        .to_options()
        .descr("Checks every scheduling file below a folder and reports all faults")
        .footer(examples(&[
            "filbertbend check .",
            "filbertbend check --format json services/ | jq '.faults[]'",
        ]))
}

fn publish() -> OptionParser<Arguments> {
    let expect = long("expect")
        .help("Publish only if this is the revision in force")
        .argument::<id::Revision>("REVISION")
        .optional();
    let dry_run = long("dry-run")
        .help("Show the difference and publish nothing")
        .switch();
    let author = author();
    let store = store();
    let format = format();
    let folder = folder();
    construct!(expect, dry_run, author, store, format, folder)
        .map(
            |(expect, dry_run, author, store, format, folder)| Arguments {
                command: Command::Operate(Operation::Publish {
                    folder,
                    expect,
                    dry_run,
                }),
                format,
                store: Some(store),
                author,
            },
        )
        .to_options()
        .descr("Puts the services declared below a folder in force and removes all others")
        .footer(examples(&[
            "filbertbend publish --store 10.0.0.5:2400 --dry-run .",
            "filbertbend publish --store 10.0.0.5:2400 --expect 41 .",
        ]))
}

fn audit() -> OptionParser<Arguments> {
    let limit = long("limit")
        .help("Most changes to list, newest first")
        .argument::<usize>("NUMBER")
        .fallback(DEFAULT_AUDIT_LIMIT)
        .display_fallback();
    let store = store();
    let format = format();
    construct!(limit, store, format)
        .map(|(limit, store, format)| Arguments {
            command: Command::Operate(Operation::Audit { limit }),
            format,
            store: Some(store),
            author: None,
        })
        .to_options()
        .descr("Shows who changed what and when, from which revision to which")
        .footer(examples(&[
            "filbertbend audit --store 10.0.0.5:2400 --limit 10",
            "filbertbend audit --settings /etc/filbertbend/entry.yaml --format json",
        ]))
}

fn status() -> OptionParser<Arguments> {
    let entry = entry();
    let format = format();
    construct!(entry, format)
        .map(|(entry, format)| no_store(Command::Operate(Operation::Status { entry }), format))
        .to_options()
        .descr("Shows what an entry knows of endpoints, slices and the configuration")
        .footer(examples(&["filbertbend status --entry 10.0.0.7:8081"]))
}

fn explain() -> OptionParser<Arguments> {
    let entry = entry();
    let format = format();
    let job = positional::<id::Job>("JOB").help("Job or order to explain");
    construct!(entry, format, job)
        .map(|(entry, format, job)| {
            no_store(Command::Operate(Operation::Explain { job, entry }), format)
        })
        .to_options()
        .descr("Shows where a job stands, why it waits and what was tried")
        .footer(examples(&[
            "filbertbend explain --entry 10.0.0.7:8081 01JD3Q6W8P9V2T5N4R7X0Y1Z2A",
        ]))
}

fn drain() -> OptionParser<Arguments> {
    endpoint_command(|endpoint| Operation::Drain { endpoint })
        .descr("Gives an endpoint no new work; work in progress ends normally")
        .footer(examples(&[
            "filbertbend drain --store 10.0.0.5:2400 runner-3",
        ]))
}

fn undrain() -> OptionParser<Arguments> {
    endpoint_command(|endpoint| Operation::Undrain { endpoint })
        .descr("Gives a drained endpoint work again")
        .footer(examples(&[
            "filbertbend undrain --store 10.0.0.5:2400 runner-3",
        ]))
}

/// Returns the parser of `drain` or `undrain`, which publish a change of one
/// endpoint.
fn endpoint_command(operation: fn(id::Endpoint) -> Operation) -> OptionParser<Arguments> {
    let author = author();
    let store = store();
    let format = format();
    let endpoint = positional::<id::Endpoint>("ENDPOINT").help("Name of the endpoint");
    construct!(author, store, format, endpoint)
        .map(move |(author, store, format, endpoint)| Arguments {
            command: Command::Operate(operation(endpoint)),
            format,
            store: Some(store),
            author,
        })
        .to_options()
}

/// Returns the arguments of a command that uses neither the store nor an
/// author.
fn no_store(command: Command, format: Format) -> Arguments {
    Arguments {
        command,
        format,
        store: None,
        author: None,
    }
}

fn folder() -> impl Parser<PathBuf> {
    positional::<PathBuf>("DIR").help("Folder that is searched for files named filbertbend.yaml")
}

fn format() -> impl Parser<Format> {
    long("format")
        .help("Form of the result, text or json")
        .argument::<String>("text|json")
        .parse(|text| Format::from_str(&text).map_err(|_| "use text or json"))
        .fallback(Format::Text)
        .display_fallback()
}

fn store() -> impl Parser<Location> {
    let address = long("store")
        .help("Address of the store")
        .argument::<SocketAddr>("ADDRESS")
        .map(Location::Address);
    let settings = long("settings")
        .help("Settings file of an entry, which names the store")
        .argument::<PathBuf>("FILE")
        .map(Location::Settings);
    construct!([address, settings])
}

fn entry() -> impl Parser<SocketAddr> {
    long("entry")
        .help("Address of an entry for operators")
        .argument::<SocketAddr>("ADDRESS")
        .fallback_with(|| DEFAULT_ENTRY.parse::<SocketAddr>())
        .display_fallback()
}

fn author() -> impl Parser<Option<Arc<str>>> {
    long("author")
        .help("Name for the audit trail; the user's name if it is not given")
        .argument::<String>("NAME")
        .guard(is_valid_author, "must be 1 to 64 printable characters")
        .map(Arc::from)
        .optional()
}

/// Returns whether a name is valid as an author in the audit trail.
#[allow(
    clippy::ptr_arg,
    reason = "the parser hands out a reference to a String"
)]
pub(super) fn is_valid_author(name: &String) -> bool {
    let length = name.chars().count();
    (1..=AUTHOR_LIMIT_CHARS).contains(&length) && !name.chars().any(char::is_control)
}

/// Formats examples for the help text, one per line. `bpaf` keeps only those
/// line breaks that a space follows.
fn examples(lines: &[&str]) -> bpaf::Doc {
    let text = lines.iter().fold("Examples:".to_owned(), |text, line| {
        format!("{text}\n   {line}")
    });
    bpaf::Doc::from(&*text)
}
