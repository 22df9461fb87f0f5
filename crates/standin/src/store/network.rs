//! A store behind a network that delays and loses calls, in simulated time.

use {
    super::Memory,
    filbertbend_coordination::store::{Answer, Call, Ticket},
    filbertbend_state::time::Instant,
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
};

/// How often a waiting watch looks for a change.
const WATCH_POLL_MS: u64 = 100;
/// Longest delay of a call whose caller has given up on it.
const LATE_MS: u64 = 10_000;
/// Longest time until a caller learns that its call is lost.
const TIMEOUT_MS: u64 = 1000;

/// How the network behaves; the shares are in thousandths of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Time from a call to its answer.
    pub latency_ms: u64,
    /// Additional time, drawn evenly from zero to this.
    pub jitter_ms: u64,
    /// Calls that never reach the store and count as lost.
    pub lost_calls: u32,
    /// Calls that take effect and count as lost.
    pub lost_answers: u32,
    /// Calls that count as lost and take effect up to 10 s later.
    pub late_calls: u32,
}

enum Event<C> {
    Call(C, Ticket, Call, Option<Instant>),
    Late(Call),
    Answer(C, Ticket, Answer),
}

/// The store with its network; `C` tells the callers apart.
pub struct Network<C> {
    /// The store itself.
    pub memory: Memory,
    /// How the network behaves.
    pub faults: Faults,
    /// Whether the store refuses every call.
    pub down: bool,
    rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event<C>>,
    next: u64,
}

impl<C> Network<C> {
    /// Makes a network in front of an empty store.
    pub fn new(faults: Faults, rng: ChaCha8Rng) -> Self {
        Self {
            memory: Memory::new(),
            faults,
            down: false,
            rng,
            events: BTreeMap::new(),
            next: 0,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn push(&mut self, at: Instant, event: Event<C>) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    /// Sends a call.
    pub fn send(&mut self, now: Instant, caller: C, ticket: Ticket, call: Call) {
        let after = |ms: u64| Instant(now.0 + ms);
        if self.down {
            let event = Event::Answer(caller, ticket, Answer::Unavailable);
            return self.push(after(1), event);
        }
        let faults = self.faults;
        let travel = faults.latency_ms / 2 + self.draw(faults.jitter_ms + 1) / 2;
        let timeout = after(1 + travel + self.draw(TIMEOUT_MS));
        let roll = self.draw(1000) as u32;
        let late_from = faults.lost_calls + faults.lost_answers;
        if roll >= late_from + faults.late_calls {
            return self.push(after(travel), Event::Call(caller, ticket, call, None));
        }
        if roll >= late_from {
            let arrival = after(self.draw(LATE_MS));
            self.push(arrival, Event::Late(call));
        } else if roll >= faults.lost_calls {
            self.push(after(travel), Event::Late(call));
        }
        self.push(timeout, Event::Answer(caller, ticket, Answer::Lost));
    }

    /// Returns when something happens next.
    pub fn next_at(&self) -> Option<Instant> {
        self.events.keys().next().map(|(at, _)| *at)
    }

    /// Carries out what is due and returns the next answer that has arrived.
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
            // The connection broke while the call was on its way.
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
        let back = self.faults.latency_ms.div_ceil(2) + self.draw(self.faults.jitter_ms + 1) / 2;
        let answer = Event::Answer(caller, ticket, answer);
        self.push(Instant(at.0 + back), answer);
    }
}
