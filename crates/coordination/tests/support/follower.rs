//! A store that can be unavailable, and a driver for the follower.

use {
    filbertbend_coordination::{
        config::{
            codec,
            follow::{Action, Event},
            key, Follower,
        },
        store::{Answer, Call, Expect, Ticket},
    },
    filbertbend_standin::store::Memory,
    filbertbend_state::{
        config::{Manifest, Segment, Snapshot},
        id,
        service::Declaration,
        time::Instant,
        unit::Millis,
    },
    std::sync::Arc,
};

/// A store that can be unavailable and that records its calls.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) memory: Memory,
    pub(crate) down: bool,
    pub(crate) calls: Vec<Call>,
}

impl Store {
    pub(crate) fn call(&mut self, now: Instant, call: Call) -> Answer {
        self.calls.push(call.clone());
        match self.down {
            true => Answer::Unavailable,
            false => self.memory.call(now, call),
        }
    }

    /// Writes a value without recording the call.
    pub(crate) fn put(&mut self, key: &str, value: Vec<u8>) {
        let now = Instant(0);
        let get = Call::Get { key: key.into() };
        let expect = match self.memory.call(now, get) {
            Answer::Value(Some(pair)) => Expect::At(pair.version),
            _ => Expect::Absent,
        };
        let call = Call::Put {
            key: key.into(),
            value,
            expect,
            lease: None,
        };
        assert!(matches!(self.memory.call(now, call), Answer::Written(_)));
    }

    /// Publishes a revision with the given segment keys and declarations.
    pub(crate) fn set(&mut self, revision: u64, segments: &[(&str, Declaration)]) {
        for (key, declaration) in segments {
            self.put(key, codec::encode(declaration).unwrap());
        }
        let manifest = Manifest {
            revision: id::Revision(revision),
            segments: segments
                .iter()
                .map(|(key, declaration)| Segment {
                    service: declaration.name.clone(),
                    key: (*key).into(),
                })
                .collect(),
            ..Manifest::default()
        };
        self.put(key::MANIFEST, codec::encode(&manifest).unwrap());
    }

    /// Removes and returns short descriptions of the recorded calls.
    pub(crate) fn drain_calls(&mut self) -> Vec<String> {
        let short = |call: Call| match call {
            Call::Get { key } => format!("get {key}"),
            Call::Put { key, .. } => format!("put {key}"),
            Call::Delete { key, .. } => format!("delete {key}"),
            Call::List { prefix, .. } => format!("list {prefix}"),
            Call::Watch { .. } => "watch".to_owned(),
            other => format!("{other:?}"),
        };
        self.calls.drain(..).map(short).collect()
    }
}

/// Drives a follower against a store and records what it adopts.
pub(crate) struct Driver {
    pub(crate) follower: Follower,
    pub(crate) now: Instant,
    pub(crate) adopted: Vec<Arc<Snapshot>>,
    pub(crate) unreadable: usize,
    watch: Option<(Ticket, Call)>,
}

impl Driver {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            follower: Follower::new(seed),
            now: Instant(1000),
            adopted: Vec::new(),
            unreadable: 0,
            watch: None,
        }
    }

    /// Advances the clock by `ms`. A watch that is still open is evaluated again
    /// every 100 ms.
    pub(crate) fn run(&mut self, store: &mut Store, ms: u64) {
        let end = self.now + Millis(ms);
        while self.now < end {
            if let Some((ticket, call)) = self.watch.take() {
                // Evaluating an open watch again is not a new call.
                let made = store.calls.len();
                self.ask(store, ticket, call);
                if store.calls.len() > made {
                    store.calls.remove(made);
                }
            }
            self.event(store, Event::Tick);
            self.now = self.now + Millis(100);
        }
    }

    pub(crate) fn event(&mut self, store: &mut Store, event: Event) {
        let mut actions = Vec::new();
        self.follower.step(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Store(ticket, call) => self.ask(store, ticket, call),
                Action::Adopt(snapshot) => self.adopted.push(snapshot),
                Action::Unreadable(..) => self.unreadable += 1,
            }
        }
    }

    fn ask(&mut self, store: &mut Store, ticket: Ticket, call: Call) {
        let watching = matches!(call, Call::Watch { .. });
        match store.call(self.now, call.clone()) {
            Answer::Unchanged if watching => self.watch = Some((ticket, call)),
            answer => self.event(store, Event::Answer(ticket, answer)),
        }
    }

    pub(crate) fn revisions(&self) -> Vec<u64> {
        self.adopted
            .iter()
            .map(|snapshot| snapshot.revision.0)
            .collect()
    }
}
