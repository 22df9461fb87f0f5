//! The arguments of every command, with their help.

use {
    bpaf::{construct, long, positional, OptionParser, Parser},
    filbertbend_state::id,
    std::{net::SocketAddr, path::PathBuf, str::FromStr, sync::Arc},
    strum::{Display, EnumString},
};

/// Longest name of an author, in characters.
const AUTHOR_LIMIT_CHARS: usize = 64;

/// Changes that `audit` shows if no number is given.
const DEFAULT_AUDIT_LIMIT: usize = 50;

/// Where `status` and `explain` look for an entry if none is given: the default
/// of `addresses.operators` in the settings.
const DEFAULT_ENTRY: &str = "127.0.0.1:8081";

/// How a command writes its result.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object, for scripts.
    Json,
}

/// Where the store is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Location {
    /// At this address.
    Address(SocketAddr),
    /// At the addresses in this settings file of an entry.
    Settings(PathBuf),
}

/// What the process is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Runs the entry process.
    Serve {
        /// Its settings file.
        settings: PathBuf,
        /// Whether to check the file and exit.
        check: bool,
    },
    /// Carries out an operator's command.
    Operate(Operation),
}

/// One operator's command with its own arguments.
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
        /// The revision that was reviewed.
        expect: Option<id::Revision>,
        /// Whether to show the difference only.
        dry_run: bool,
    },
    /// Lists the published changes.
    Audit {
        /// The most changes to list.
        limit: usize,
    },
    /// Shows the state of an entry.
    Status {
        /// The entry's address for operators.
        entry: SocketAddr,
    },
    /// Shows why a job is where it is.
    Explain {
        /// The job.
        job: id::Job,
        /// The address for operators of any entry.
        entry: SocketAddr,
    },
    /// Gives an endpoint no new work.
    Drain {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// Gives an endpoint work again.
    Undrain {
        /// The endpoint.
        endpoint: id::Endpoint,
    },
}

/// The whole command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arguments {
    /// The command.
    pub command: Command,
    /// How it writes its result.
    pub format: Format,
    /// The store, for the commands that use it.
    pub store: Option<Location>,
    /// The author, for the commands that publish.
    pub author: Option<Arc<str>>,
}

/// Returns the parser of the command line.
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

/// Returns the parser of a command that publishes a change of one endpoint.
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

/// Returns the arguments of a command that uses neither store nor author.
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

/// Tells whether a name can stand in the audit trail.
#[allow(
    clippy::ptr_arg,
    reason = "the parser hands out a reference to a String"
)]
pub(super) fn is_valid_author(name: &String) -> bool {
    let length = name.chars().count();
    (1..=AUTHOR_LIMIT_CHARS).contains(&length) && !name.chars().any(char::is_control)
}

/// Formats examples so that the help keeps their lines, which it does only for
/// line breaks that a space follows.
fn examples(lines: &[&str]) -> bpaf::Doc {
    let text = lines.iter().fold("Examples:".to_owned(), |text, line| {
        format!("{text}\n   {line}")
    });
    bpaf::Doc::from(&*text)
}
