//! Runs commands against an in-memory store with injected faults.

use {
    filbertbend::cli::{arguments, run, Command, Context, Exit, Printer},
    filbertbend_coordination::{
        config::key,
        store::{Answer, Call, Expect},
    },
    filbertbend_standin::store::Memory,
    filbertbend_state::time::{Instant, Wall},
    filbertbend_transport::store::Client,
    miette::GraphicalTheme,
    std::{
        path::PathBuf,
        sync::{Arc, Mutex},
    },
};

/// The fault to inject into the next write of the manifest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum Fault {
    #[default]
    None,
    /// The write takes effect and its answer is lost.
    Lost,
    /// The write takes effect, its answer is lost, and then the store is down.
    LostAndDown,
    /// Another operator replaces the manifest first, with this value.
    Overtaken(Vec<u8>),
}

#[derive(Default)]
struct State {
    memory: Memory,
    down: bool,
    fault: Fault,
}

/// An in-memory store; its clones share their content.
#[derive(Clone, Default)]
pub(crate) struct Store(Arc<Mutex<State>>);

impl Store {
    pub(crate) fn set_down(&self, down: bool) {
        self.0.lock().unwrap().down = down;
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        self.0.lock().unwrap().fault = fault;
    }

    /// Returns the encoded manifest, for [`Fault::Overtaken`] and comparisons.
    pub(crate) fn manifest(&self) -> Vec<u8> {
        let state = self.0.lock().unwrap();
        state.memory.pairs(key::MANIFEST).remove(0).value
    }

    /// Creates an independent store with the same configuration.
    pub(crate) fn copy(&self) -> Self {
        let copy = Self::default();
        let pairs = self.0.lock().unwrap().memory.pairs("config/");
        for pair in pairs {
            copy.put(pair.key, pair.value);
        }
        copy
    }

    fn put(&self, key: Arc<str>, value: Vec<u8>) {
        let mut state = self.0.lock().unwrap();
        put(&mut state.memory, key, value);
    }
}

fn put(memory: &mut Memory, key: Arc<str>, value: Vec<u8>) {
    let version = match memory.call(Instant(0), Call::Get { key: key.clone() }) {
        Answer::Value(Some(pair)) => Some(pair.version),
        _ => None,
    };
    let expect = version.map_or(Expect::Absent, Expect::At);
    let lease = None;
    memory.call(
        Instant(0),
        Call::Put {
            key,
            value,
            expect,
            lease,
        },
    );
}

impl Client for Store {
    async fn call(&self, call: Call) -> Answer {
        let mut state = self.0.lock().unwrap();
        if state.down {
            return Answer::Unavailable;
        }
        let replaces_manifest = matches!(&call, Call::Put { key, .. } if &**key == key::MANIFEST);
        let fault = match replaces_manifest {
            true => std::mem::take(&mut state.fault),
            false => Fault::None,
        };
        if let Fault::Overtaken(value) = &fault {
            put(&mut state.memory, key::MANIFEST.into(), value.clone());
        }
        let answer = state.memory.call(Instant(0), call);
        match fault {
            Fault::Lost => Answer::Lost,
            Fault::LostAndDown => {
                state.down = true;
                Answer::Lost
            }
            _ => answer,
        }
    }
}

/// The output and the exit code of a command.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Output {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Output {
    /// Returns the output and the exit code as text for a golden file.
    pub(crate) fn transcript(&self) -> String {
        format!("{}{}exit {}", self.out, self.err, self.exit as u8)
    }
}

/// Runs one command, with `ana` as the default author. `seed` must differ
/// between the publishes of a test.
pub(crate) async fn execute<C: Client + Clone>(store: &C, seed: u64, line: &[&str]) -> Output {
    let parsed = arguments().run_inner(line).unwrap();
    let theme = GraphicalTheme::unicode_nocolor();
    let mut printer = Printer::new(parsed.format, Vec::new(), Vec::new(), theme);
    let context = Context {
        store: store.clone(),
        author: parsed.author.or_else(|| Some("ana".into())),
        at: Wall(1_796_367_600_000 + seed * 60_000),
        seed,
    };
    let Command::Operate(operation) = parsed.command else {
        panic!("{line:?} is no operator's command");
    };
    let exit = run(operation, context, &mut printer).await;
    let (out, err) = printer.into_parts();
    Output {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

/// Returns the folder that holds the examples of one user.
pub(crate) fn examples(user: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(user)
}

/// Copies the examples of one user to a temporary folder, so that a test can
/// change them.
pub(crate) fn copy_examples(user: &str) -> tempfile::TempDir {
    let target = tempfile::tempdir().unwrap();
    for entry in std::fs::read_dir(examples(user)).unwrap() {
        let from = entry.unwrap().path();
        let to = target.path().join(from.file_name().unwrap());
        std::fs::create_dir(&to).unwrap();
        let file = "filbertbend.yaml";
        std::fs::copy(from.join(file), to.join(file)).unwrap();
    }
    target
}
