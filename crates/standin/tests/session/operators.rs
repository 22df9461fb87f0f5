//! Operators that publish concurrently, in simulated time.

use {
    super::text::{describe_store_call, time},
    filbertbend_coordination::{
        config::{
            codec, key,
            publish::{Action, Event},
            Outcome, Publisher, Request,
        },
        store::{Answer, Call, Ticket},
    },
    filbertbend_standin::store::network::{Faults, Network},
    filbertbend_state::{
        config::{Change, Manifest},
        time::Instant,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, VecDeque},
        fmt::Write,
    },
};

const TICK_MS: u64 = 100;

struct Operator {
    author: String,
    publisher: Publisher,
    calls: BTreeMap<Ticket, String>,
    outcome: Option<Outcome>,
}

/// The operators of one session and their store.
pub(crate) struct Operators {
    pub(crate) network: Network<usize>,
    now: Instant,
    operators: Vec<Operator>,
    log: String,
    calls: BTreeMap<(String, String), u64>,
}

impl Operators {
    pub(crate) fn new() -> Self {
        let faults = Faults {
            latency_ms: 4,
            ..Faults::default()
        };
        Self {
            network: Network::new(faults, ChaCha8Rng::seed_from_u64(1)),
            now: Instant(1),
            operators: Vec::new(),
            log: String::new(),
            calls: BTreeMap::new(),
        }
    }

    pub(crate) fn set_down(&mut self, down: bool) {
        let state = if down { "fails" } else { "is back" };
        writeln!(self.log, "{} store {state}", time(self.now)).unwrap();
        self.network.down = down;
    }

    /// Starts a publish, whose plan the operator confirms at once.
    pub(crate) fn publish(&mut self, request: Request) -> usize {
        let index = self.operators.len();
        let author = format!("{} ({})", request.author, index + 1);
        writeln!(self.log, "{} {author}: publishes", time(self.now)).unwrap();
        self.operators.push(Operator {
            author,
            publisher: Publisher::new(request, index as u64 + 1),
            calls: BTreeMap::new(),
            outcome: None,
        });
        self.step(index, Event::Tick);
        index
    }

    pub(crate) fn outcome(&self, index: usize) -> Option<&Outcome> {
        self.operators[index].outcome.as_ref()
    }

    fn step(&mut self, index: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let operator = &mut self.operators[index];
            if operator.outcome.is_some() {
                return;
            }
            let mut actions = Vec::new();
            operator.publisher.step(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Store(ticket, call) => self.send(index, ticket, call),
                    Action::Plan(_) => events.push_back(Event::Proceed),
                    Action::Done(outcome) => {
                        let operator = &mut self.operators[index];
                        let (at, author) = (time(self.now), &operator.author);
                        writeln!(self.log, "{at} {author}: {}", describe_outcome(&outcome))
                            .unwrap();
                        operator.outcome = Some(outcome);
                    }
                }
            }
        }
    }

    fn send(&mut self, index: usize, ticket: Ticket, call: Call) {
        let operator = &mut self.operators[index];
        let text = describe_store_call(&call);
        let count = self.calls.entry((operator.author.clone(), text.clone()));
        *count.or_default() += 1;
        operator.calls.insert(ticket, text);
        self.network.send(self.now, index, ticket, call);
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = Instant(self.now.0 + ms);
        while self.now < end {
            let tick = Instant((self.now.0 / TICK_MS + 1) * TICK_MS);
            let next = self
                .network
                .next_at()
                .into_iter()
                .fold(tick.min(end), Instant::min);
            self.now = next.max(Instant(self.now.0 + 1));
            while let Some((index, ticket, answer)) = self.network.receive(self.now) {
                self.log_answer(index, ticket, &answer);
                self.step(index, Event::Answer(ticket, answer));
            }
            if self.now == tick {
                for index in 0..self.operators.len() {
                    self.step(index, Event::Tick);
                }
            }
        }
    }

    fn log_answer(&mut self, index: usize, ticket: Ticket, answer: &Answer) {
        let operator = &mut self.operators[index];
        let call = operator.calls.remove(&ticket).unwrap();
        let answer = match answer {
            Answer::Value(Some(pair)) => format!("version {}", pair.version),
            Answer::Value(None) => "absent".to_owned(),
            Answer::Page(pairs) => format!("{} pairs", pairs.len()),
            other => format!("{other:?}"),
        };
        writeln!(
            self.log,
            "{} {}: {call}: {answer}",
            time(self.now),
            operator.author
        )
        .unwrap();
    }

    fn audit(&self) -> Vec<Change> {
        let pairs = self.network.memory.pairs(key::MANIFEST);
        let manifest = pairs
            .first()
            .map(|pair| codec::decode::<Manifest>(&pair.value).unwrap());
        manifest.unwrap_or_default().audit
    }

    /// Checks that the audit trail contains every change reported as published
    /// exactly once, and no change reported as not in force. Renders the session
    /// for the golden file.
    pub(crate) fn finish(self) -> String {
        let audit = self.audit();
        let revisions: Vec<u64> = audit.iter().map(|change| change.to.0).collect();
        let expected: Vec<u64> = (1..=audit.len() as u64).collect();
        assert_eq!(revisions, expected, "revisions rise by one");
        let mut settled = 0;
        for operator in &self.operators {
            match operator.outcome.as_ref().expect("every publish ends") {
                Outcome::Published(change) => {
                    let times = audit.iter().filter(|found| *found == change).count();
                    assert_eq!(
                        times, 1,
                        "{}: published and {times} times in the trail",
                        operator.author
                    );
                    settled += 1;
                }
                Outcome::Unknown(change) => settled += usize::from(audit.contains(change)),
                _ => {}
            }
        }
        assert_eq!(
            settled,
            audit.len(),
            "a change in the trail was answered as not in force"
        );
        self.render(&audit)
    }

    fn render(&self, audit: &[Change]) -> String {
        let mut text = format!("== calls and outcomes\n{}\n== audit trail\n", self.log);
        for change in audit {
            writeln!(text, "{}", describe_change(change)).unwrap();
        }
        text += "\n== keys in the store\n";
        for pair in self.network.memory.pairs("config/") {
            writeln!(text, "{} version {}", pair.key, pair.version).unwrap();
        }
        text += "\n== store calls\n";
        for ((author, call), count) in &self.calls {
            writeln!(text, "{author} {count:>4} {call}").unwrap();
        }
        text
    }
}

fn describe_change(change: &Change) -> String {
    format!(
        "{} to {} by {}: {}",
        change.from,
        change.to,
        change.author,
        change.summary.join("; ")
    )
}

fn describe_outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Published(change) => format!("published {}", describe_change(change)),
        Outcome::LostRace { base, winner } => {
            let winner = winner
                .as_ref()
                .map_or_else(|| "unknown".to_owned(), describe_change);
            format!("lost the race from {base}, won by {winner}")
        }
        Outcome::Unknown(change) => format!("unknown {}", describe_change(change)),
        other => format!("{other:?}"),
    }
}
