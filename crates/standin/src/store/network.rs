//! A store behind a network that delays and loses calls, in simulated time.

use {
    super::Memory,
    filbertbend_coordination::store::{Answer, Call, Ticket},
    filbertbend_state::time::Instant,
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
};

/// How often a waiting watch is checked for changes.
const WATCH_POLL_MS: u64 = 100;
/// The longest delay of a call that takes effect after its caller has given up.
const LATE_MS: u64 = 10_000;
/// The longest time until a caller learns that its call is lost.
const TIMEOUT_MS: u64 = 1000;

/// Latency and faults of the network. Probabilities are in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Minimum time from a call to its answer.
    pub latency_ms: u64,
    /// Maximum additional time; the actual one is uniformly distributed.
    pub jitter_ms: u64,
    /// Probability that a call never reaches the store and is reported as lost.
    pub lost_calls: u32,
    /// Probability that a call takes effect and is reported as lost.
    pub lost_answers: u32,
    /// Probability that a call is reported as lost and takes effect up to 10 s
    /// later.
    pub late_calls: u32,
}

enum Event<C> {
    Call(C, Ticket, Call, Option<Instant>),
    Late(Call),
    Answer(C, Ticket, Answer),
}

/// A store behind a simulated network. `C` identifies the caller of a call.
pub struct Network<C> {
    /// The store itself.
    pub memory: Memory,
    /// The latency and faults of the calls from now on.
    pub faults: Faults,
    /// Whether the store is unavailable.
    pub down: bool,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event<C>>,
    sequence: u64,
}

impl<C> Network<C> {
    /// Creates a network in front of an empty store.
    pub fn new(faults: Faults, rng: ChaCha8Rng) -> Self {
        Self {
            memory: Memory::new(),
            faults,
            down: false,
            rng,
            events: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn push(&mut self, at: Instant, event: Event<C>) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Sends a call, whose answer [`Network::receive`] returns later.
    pub fn send(&mut self, now: Instant, caller: C, ticket: Ticket, call: Call) {
        let after = |ms: u64| Instant(now.0 + ms);
        if self.down {
            let event = Event::Answer(caller, ticket, Answer::Unavailable);
            return self.push(after(1), event);
        }
        let faults = self.faults;
        let one_way = faults.latency_ms / 2 + self.random_below(faults.jitter_ms + 1) / 2;
        let timeout_at = after(1 + one_way + self.random_below(TIMEOUT_MS));
        let roll = self.random_below(1000) as u32;
        let late_from = faults.lost_calls + faults.lost_answers;
        if roll >= late_from + faults.late_calls {
            return self.push(after(one_way), Event::Call(caller, ticket, call, None));
        }
        if roll >= late_from {
            let arrival = after(self.random_below(LATE_MS));
            self.push(arrival, Event::Late(call));
        } else if roll >= faults.lost_calls {
            self.push(after(one_way), Event::Late(call));
        }
        self.push(timeout_at, Event::Answer(caller, ticket, Answer::Lost));
    }

    /// Returns the time of the next event.
    pub fn next_at(&self) -> Option<Instant> {
        self.events.keys().next().map(|(at, _)| *at)
    }

    /// Processes the events that are due, up to the next answer that arrives, and
    /// returns that answer.
    pub fn receive(&mut self, now: Instant) -> Option<(C, Ticket, Answer)> {
        while self.next_at().is_some_and(|at| at <= now) {
            let ((at, _), event) = self.events.pop_first()?;
            match event {
                Event::Answer(caller, ticket, answer) => return Some((caller, ticket, answer)),
                Event::Late(call) if !self.down => {
                    self.memory.call(at, call);
                }
                Event::Late(_) => {}
                Event::Call(caller, ticket, call, end) => {
                    self.arrive(at, caller, ticket, call, end)
                }
            }
        }
        None
    }

    fn arrive(&mut self, at: Instant, caller: C, ticket: Ticket, call: Call, end: Option<Instant>) {
        if self.down {
            // The connection broke while the call was in flight.
            return self.push(at, Event::Answer(caller, ticket, Answer::Lost));
        }
        let answer = self.memory.call(at, call.clone());
        if let (Answer::Unchanged, Call::Watch { wait_ms, .. }) = (&answer, &call) {
            let end = end.unwrap_or(Instant(at.0 + wait_ms));
            if at < end {
                let again = Event::Call(caller, ticket, call, Some(end));
                return self.push(Instant(at.0 + WATCH_POLL_MS), again);
            }
        }
        let return_delay =
            self.faults.latency_ms.div_ceil(2) + self.random_below(self.faults.jitter_ms + 1) / 2;
        let answer = Event::Answer(caller, ticket, answer);
        self.push(Instant(at.0 + return_delay), answer);
    }
}
