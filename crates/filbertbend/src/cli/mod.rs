//! The command-line interface: parses arguments and runs the operators'
//! commands.
//!
//! `docs/operators.md` describes every command and exit code.

mod arguments;
mod audit;
mod check;
mod failure;
mod inspect;
mod printer;
mod publish;
mod store;

pub use {
    arguments::{arguments, Arguments, Command, Format, Location, Operation},
    failure::Exit,
    printer::Printer,
};

use {
    crate::settings::Settings,
    failure::Failure,
    filbertbend_coordination::config::Intent,
    filbertbend_state::time::Wall,
    filbertbend_transport::{
        clock,
        store::{Client, Http},
    },
    std::{
        collections::hash_map::RandomState,
        env,
        hash::{BuildHasher, Hasher},
        io::Write,
        process::ExitCode,
        sync::Arc,
    },
};

/// Maximum line width of the help and of reports, in characters.
const MAX_WIDTH: usize = 100;

/// Parses the command line, runs the command and returns its exit code.
///
/// The caller passes `serve`, which runs the entry process with its settings.
pub fn main(serve: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    let arguments = match arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(MAX_WIDTH);
            return match failure.exit_code() {
                0 => Exit::Done.into(),
                _ => Exit::Usage.into(),
            };
        }
    };
    let mut printer = Printer::stdio(arguments.format);
    let operation = match arguments.command {
        Command::Serve { settings, check } => {
            return match Settings::load(settings) {
                Ok(_) if check => check::report_no_faults(&mut printer).into(),
                Ok(settings) => serve(settings),
                Err(faults) => printer.fail(Failure::Settings(faults)).into(),
            };
        }
        Command::Operate(operation) => operation,
    };
    let context = match Context::resolve(arguments.store, arguments.author) {
        Ok(context) => context,
        Err(failure) => return printer.fail(failure).into(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime
            .block_on(run(operation, context, &mut printer))
            .into(),
        Err(error) => printer.fail(Failure::Runtime(error)).into(),
    }
}

/// The environment of an operator's command; tests replace it.
pub struct Context<C> {
    /// Client of the store.
    pub store: C,
    /// Author of a publish for the audit trail, if it is known.
    pub author: Option<Arc<str>>,
    /// Time of a publish for the audit trail.
    pub at: Wall,
    /// Seed that makes the keys of published values unique. It must differ
    /// between any two publishes.
    pub seed: u64,
}

impl Context<Http> {
    /// Creates the context from the arguments, the environment and the clock.
    fn resolve(store: Option<Location>, given: Option<Arc<str>>) -> Result<Self, Failure> {
        Ok(Self {
            store: store::resolve(store.as_ref())?,
            author: resolve_author(given),
            at: clock::wall(),
            seed: seed(),
        })
    }
}

/// Runs an operator's command and returns its exit code.
pub async fn run<C: Client, O: Write, E: Write>(
    operation: Operation,
    context: Context<C>,
    printer: &mut Printer<O, E>,
) -> Exit {
    let result = match operation {
        Operation::Check { folder } => check::run(&folder, printer),
        Operation::Publish {
            folder,
            expect,
            dry_run,
        } => match check::collect(&folder) {
            Ok(services) => {
                let options = publish::Options {
                    intent: Intent::Services(services),
                    expected: expect,
                    dry_run,
                };
                publish::run(options, context, printer).await
            }
            Err(failure) => Err(failure),
        },
        Operation::Drain { endpoint } => {
            let options = publish::Options::new(Intent::Drain(endpoint));
            publish::run(options, context, printer).await
        }
        Operation::Undrain { endpoint } => {
            let options = publish::Options::new(Intent::Undrain(endpoint));
            publish::run(options, context, printer).await
        }
        Operation::Audit { limit } => audit::run(limit, &context.store, printer).await,
        Operation::Status { entry } => inspect::status(entry, printer).await,
        Operation::Explain { job, entry } => inspect::explain(job, entry, printer).await,
    };
    match result {
        Ok(()) => Exit::Done,
        Err(failure) => printer.fail(failure),
    }
}

/// Returns the author from the command line, or else the user's name from the
/// environment.
fn resolve_author(given: Option<Arc<str>>) -> Option<Arc<str>> {
    given.or_else(|| {
        let user = env::var("USER").or_else(|_| env::var("LOGNAME")).ok()?;
        arguments::is_valid_author(&user).then(|| user.into())
    })
}

/// Returns a random number. [`RandomState`] takes its keys from the operating
/// system's random number generator.
fn seed() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(clock::wall().0);
    hasher.finish()
}
