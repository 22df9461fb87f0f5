//! A trace of all runs on a worker, which the system under test cannot see.

use {
    filbertbend_coordination::attempt::Attempt,
    filbertbend_state::{id, room::Room, time::Instant},
};

/// One run of one attempt on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Span {
    /// The worker on which it ran.
    pub worker: id::Worker,
    /// The attempt that ran.
    pub attempt: Attempt,
    /// The start of the run.
    pub from: Instant,
    /// The end of the run; `None` while it runs.
    pub to: Option<Instant>,
}

impl Span {
    fn overlaps(&self, other: &Self) -> bool {
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
    /// All runs in the order of their start.
    pub spans: Vec<Span>,
    /// The maximum of each resource that was in use at once.
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

    pub(super) fn record_room(&mut self, used: Room) {
        self.peak = Room {
            cores: self.peak.cores.max(used.cores),
            memory: self.peak.memory.max(used.memory),
            accelerators: self.peak.accelerators.max(used.accelerators),
        };
    }
}

/// Returns every pair of runs of the same task that overlap in time. The runs
/// may be from several workers that share a clock.
pub fn overlaps<'a>(spans: impl IntoIterator<Item = &'a Span>) -> Vec<(Span, Span)> {
    let mut sorted: Vec<&Span> = spans.into_iter().collect();
    sorted.sort_by_key(|span| (span.attempt.task, span.from));
    let mut found = Vec::new();
    for (index, first) in sorted.iter().enumerate() {
        let same_task = sorted[index + 1..]
            .iter()
            .take_while(|second| second.attempt.task == first.attempt.task);
        for second in same_task.filter(|second| first.overlaps(second)) {
            found.push(((*first).clone(), (*second).clone()));
        }
    }
    found
}
