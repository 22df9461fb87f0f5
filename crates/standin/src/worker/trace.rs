//! A record of what ran when, which no part of the system can see.

use {
    filbertbend_coordination::attempt::Attempt,
    filbertbend_state::{id, room::Room, time::Instant},
};

/// One run of one attempt on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Span {
    /// The worker.
    pub worker: id::Worker,
    /// The attempt.
    pub attempt: Attempt,
    /// When it started.
    pub from: Instant,
    /// When it ended; `None` while it runs.
    pub to: Option<Instant>,
}

impl Span {
    fn meets(&self, other: &Self) -> bool {
        let ends_before =
            |first: &Self, second: &Self| first.to.is_some_and(|to| to <= second.from);
        self.attempt.task == other.attempt.task
            && !ends_before(self, other)
            && !ends_before(other, self)
    }
}

/// Everything that ran on one worker.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// All runs, in the order of their start.
    pub spans: Vec<Span>,
    /// The most room that was in use at once.
    pub peak: Room,
}

impl Trace {
    pub(super) fn start(&mut self, worker: &id::Worker, attempt: Attempt, from: Instant) {
        self.spans.push(Span {
            worker: worker.clone(),
            attempt,
            from,
            to: None,
        });
    }

    pub(super) fn end(&mut self, attempt: Attempt, to: Instant) {
        let open = self
            .spans
            .iter_mut()
            .rev()
            .find(|span| span.attempt == attempt && span.to.is_none());
        if let Some(span) = open {
            span.to = Some(to);
        }
    }

    pub(super) fn use_room(&mut self, used: Room) {
        self.peak = Room {
            cores: self.peak.cores.max(used.cores),
            memory: self.peak.memory.max(used.memory),
            accelerators: self.peak.accelerators.max(used.accelerators),
        };
    }
}

/// Finds every pair of runs of one task that overlap in time, also across
/// workers that share a clock.
pub fn overlaps<'a>(spans: impl IntoIterator<Item = &'a Span>) -> Vec<(Span, Span)> {
    let mut sorted: Vec<&Span> = spans.into_iter().collect();
    sorted.sort_by_key(|span| (span.attempt.task, span.from));
    let mut found = Vec::new();
    for (index, first) in sorted.iter().enumerate() {
        let same_task = sorted[index + 1..]
            .iter()
            .take_while(|second| second.attempt.task == first.attempt.task);
        for second in same_task.filter(|second| first.meets(second)) {
            found.push(((*first).clone(), (*second).clone()));
        }
    }
    found
}
