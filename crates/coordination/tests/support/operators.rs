//! Operators that publish concurrently to a store with injected faults.

use {
    filbertbend_coordination::{
        config::{
            codec, key,
            publish::{Action, Event},
            Intent, Outcome, Publisher, Request,
        },
        store::{Answer, Call, Ticket},
    },
    filbertbend_standin::store::Memory,
    filbertbend_state::{
        config::{Change, Manifest},
        service::Declaration,
        time::{Instant, Wall},
        unit::Millis,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::VecDeque,
};

/// Returns a request to replace all declarations with `services`.
pub(crate) fn services(author: &str, services: &[Declaration]) -> Request {
    Request {
        intent: Intent::Services(services.to_vec()),
        author: author.into(),
        at: Wall(1),
        expected: None,
    }
}

/// Returns a request for any change, such as a drain.
pub(crate) fn request(author: &str, intent: Intent) -> Request {
    Request {
        intent,
        author: author.into(),
        at: Wall(1),
        expected: None,
    }
}

/// The fault that is injected into one store call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    /// The call takes effect and its answer is lost.
    LostAfter,
    /// The call never reaches the store.
    LostBefore,
    /// The answer is lost and the call takes effect some time later.
    Delayed,
    /// The store is unavailable.
    Down,
}

/// An operator with one publish.
pub(crate) struct Operator {
    pub(crate) outcome: Option<Outcome>,
    publisher: Publisher,
    calls: VecDeque<(Ticket, Call)>,
}

impl Operator {
    pub(crate) fn new(request: Request, seed: u64) -> Self {
        Self {
            outcome: None,
            publisher: Publisher::new(request, seed),
            calls: VecDeque::new(),
        }
    }

    fn event(&mut self, now: Instant, event: Event) {
        let mut actions = Vec::new();
        self.publisher.step(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Store(ticket, call) => self.calls.push_back((ticket, call)),
                Action::Plan(_) => self.event(now, Event::Proceed),
                Action::Done(outcome) => {
                    assert_eq!(self.outcome, None, "a publish ends once");
                    self.outcome = Some(outcome);
                }
            }
        }
    }

    /// Makes the next call with `fault`, or sends a tick if there is none.
    pub(crate) fn advance(&mut self, env: &mut Environment, fault: Fault) {
        match self.calls.pop_front() {
            Some((ticket, call)) => {
                let answer = env.call(call, fault);
                self.event(env.now, Event::Answer(ticket, answer));
            }
            None => self.event(env.now, Event::Tick),
        }
    }

    /// Returns whether the next call replaces the manifest.
    pub(crate) fn at_swap(&self) -> bool {
        let next = self.calls.front();
        matches!(next, Some((_, Call::Put { key, .. })) if &**key == key::MANIFEST)
    }

    /// Advances without faults until the compare-and-swap is the next call.
    pub(crate) fn run_to_swap(&mut self, env: &mut Environment) {
        while !self.at_swap() {
            assert_eq!(self.outcome, None);
            self.advance(env, Fault::None);
        }
    }

    /// Advances until the publish ends, with `fault` for every call.
    pub(crate) fn run(&mut self, env: &mut Environment, fault: Fault) -> Outcome {
        while self.outcome.is_none() {
            self.advance(env, fault);
            env.now = env.now + Millis(20);
        }
        self.outcome.clone().unwrap()
    }
}

/// The store and the clock that all operators share.
#[derive(Default)]
pub(crate) struct Environment {
    pub(crate) now: Instant,
    pub(crate) memory: Memory,
    pub(crate) calls: usize,
    delayed: Vec<Call>,
}

impl Environment {
    pub(crate) fn call(&mut self, call: Call, fault: Fault) -> Answer {
        self.calls += 1;
        match fault {
            Fault::None => self.memory.call(self.now, call),
            Fault::Down => Answer::Unavailable,
            Fault::LostBefore => Answer::Lost,
            Fault::LostAfter => {
                self.memory.call(self.now, call);
                Answer::Lost
            }
            Fault::Delayed => {
                self.delayed.push(call);
                Answer::Lost
            }
        }
    }

    /// Applies the delayed call at `index` to the store.
    pub(crate) fn deliver(&mut self, index: usize) {
        let call = self.delayed.swap_remove(index);
        self.memory.call(self.now, call);
    }

    pub(crate) fn deliver_all(&mut self) {
        while !self.delayed.is_empty() {
            self.deliver(0);
        }
    }

    /// Publishes without faults and returns the change.
    pub(crate) fn publish(&mut self, request: Request, seed: u64) -> Change {
        match Operator::new(request, seed).run(self, Fault::None) {
            Outcome::Published(change) => change,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn manifest(&self) -> Manifest {
        match self.memory.pairs(key::MANIFEST).first() {
            Some(pair) => codec::decode(&pair.value).unwrap(),
            None => Manifest::default(),
        }
    }

    /// Returns the declarations in force; panics if one is missing.
    pub(crate) fn in_force(&self) -> Vec<Declaration> {
        let segment = |key: &str| -> Declaration {
            let pairs = self.memory.pairs(key);
            let pair = pairs.first().unwrap_or_else(|| panic!("{key} is missing"));
            codec::decode(&pair.value).unwrap()
        };
        let manifest = self.manifest();
        let segments = manifest.segments.iter();
        segments.map(|found| segment(&found.key)).collect()
    }

    /// Returns the number of stored segments.
    pub(crate) fn segments(&self) -> usize {
        self.memory.pairs(key::SEGMENT_PREFIX).len()
    }
}

/// Runs operators until all have ended, with calls that interleave and fail at
/// random.
pub(crate) fn run_session(env: &mut Environment, operators: &mut [Operator], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let outage_start = rng.random_range(0..300);
    let outage = outage_start..outage_start + rng.random_range(0..1500);
    for turn in 0.. {
        if operators.iter().all(|operator| operator.outcome.is_some()) {
            break;
        }
        assert!(turn < 100_000, "seed {seed}: a publish does not end");
        let operator = &mut operators[rng.random_range(0..operators.len())];
        let fault = match rng.random_range(0..100) {
            _ if outage.contains(&turn) => Fault::Down,
            0..8 => Fault::LostAfter,
            8..14 => Fault::LostBefore,
            14..20 => Fault::Delayed,
            _ => Fault::None,
        };
        if operator.outcome.is_none() {
            operator.advance(env, fault);
        }
        if !env.delayed.is_empty() && rng.random_bool(0.2) {
            let index = rng.random_range(0..env.delayed.len());
            env.deliver(index);
        }
        env.now = env.now + Millis(rng.random_range(0..60));
    }
    env.deliver_all();
}
