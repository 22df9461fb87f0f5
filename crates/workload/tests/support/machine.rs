//! A model of a worker: what it runs, and which rules its callers break.

use {
    super::{end, running},
    filbertbend_state::{room::Room, time::Instant, unit::Millis},
    filbertbend_workload::{
        agent::{Answer, Call, Refusal, Snapshot},
        id::{Fence, Run, Sequence, Task},
        message::Start,
        worker::{End, Exit},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How long a room that has shrunk counts: the platform's `stable_ms` and one
/// heartbeat.
const SHRINK_GRACE: Millis = Millis(4500);
/// The maximum duration of a stop.
const STOP_TIME: Millis = Millis(200);

/// A worker that starts whatever it is told to, as long as the fence, the run
/// and the lease allow it.
#[derive(Debug, Default)]
pub(crate) struct Machine {
    pub(crate) room: Room,
    /// The number of the incarnation, from 1.
    pub(crate) started_ms: u64,
    /// When it leaves, if it is draining.
    pub(crate) leaves_at: Option<Instant>,
    /// The rooms that it had, each until the time when it changed.
    former: Vec<(Instant, Room)>,
    running: BTreeMap<(Task, Run), Execution>,
    /// The highest run of each task that was stopped or has ended.
    over: BTreeMap<Task, Run>,
    ends: Vec<End>,
    /// The ends since which the lease has not expired.
    certain: BTreeSet<Sequence>,
    last_end: Sequence,
    fence: Fence,
    deadline: u64,
}

#[derive(Debug)]
struct Execution {
    room: Room,
    until: Instant,
    exit: Exit,
}

impl Machine {
    /// Begins another incarnation, which knows nothing.
    pub(crate) fn restart(&mut self) {
        *self = Self {
            room: self.room,
            started_ms: self.started_ms + 1,
            ..Self::default()
        };
    }

    pub(crate) fn resize(&mut self, now: Instant, room: Room) {
        self.former.push((now, self.room));
        self.room = room;
    }

    pub(crate) fn runs(&self, task: Task) -> bool {
        self.running.keys().any(|(found, _)| *found == task)
    }

    /// Lists the tasks that have certainly ended as done, but whose ends have
    /// not been acknowledged.
    pub(crate) fn done(&self) -> impl Iterator<Item = (Task, Sequence)> + '_ {
        let ends = self.ends.iter().filter(|end| end.exit == Exit::Done);
        ends.filter(|end| self.certain.contains(&end.sequence))
            .map(|end| (end.task, end.sequence))
    }

    /// Ends what has run its time, and everything once the lease has expired or
    /// the worker has left.
    pub(crate) fn advance(&mut self, now: Instant) {
        if self.leaves_at.is_some_and(|leaves_at| now >= leaves_at) {
            self.restart();
        }
        let lapsed = now.0 >= self.deadline;
        if lapsed {
            self.certain.clear();
        }
        let due = self
            .running
            .iter()
            .filter(|(_, execution)| lapsed || now >= execution.until)
            .map(|(key, execution)| (*key, execution.until, execution.exit));
        for (key, until, exit) in due.collect::<Vec<_>>() {
            let (task, run) = key;
            self.running.remove(&key);
            let natural = now >= until;
            let exit = if natural { exit } else { Exit::LeaseExpired };
            self.last_end.0 += 1;
            self.ends.push(end(self.last_end.0, task, run, exit));
            if !lapsed {
                self.certain.insert(self.last_end);
            }
            let highest = self.over.entry(task).or_default();
            *highest = run.max(*highest);
        }
    }

    /// Carries out a call. A start that is carried out runs until `until` and
    /// ends as `exit`.
    pub(crate) fn call(&mut self, now: Instant, call: &Call, until: Instant, exit: Exit) -> Answer {
        let (Call::Identify { fence, .. }
        | Call::Poll { fence, .. }
        | Call::Extend { fence, .. }
        | Call::Start { fence, .. }
        | Call::Stop { fence, .. }
        | Call::Throttle { fence, .. }) = call;
        if *fence < self.fence {
            return Answer::Refused(Refusal::Fence);
        }
        self.fence = *fence;
        match call {
            Call::Identify { .. } => self.snapshot(now),
            Call::Extend { deadline, .. } => {
                self.deadline = self.deadline.max(deadline.until_ms);
                self.snapshot(now)
            }
            Call::Poll { acknowledged, .. } => {
                self.ends.retain(|end| end.sequence > *acknowledged);
                self.snapshot(now)
            }
            Call::Start {
                deadline, start, ..
            } => {
                if let Some(refusal) = self.refusal(now, deadline.until_ms, start) {
                    return Answer::Refused(refusal);
                }
                self.deadline = self.deadline.max(deadline.until_ms);
                let room = start.role.room;
                let execution = Execution { room, until, exit };
                self.running
                    .entry((start.task, start.run))
                    .or_insert(execution);
                Answer::Done
            }
            Call::Stop { task, run, .. } => {
                let highest = self.over.entry(*task).or_default();
                *highest = (*run).max(*highest);
                if let Some(execution) = self.running.get_mut(&(*task, *run)) {
                    execution.until = execution.until.min(now + STOP_TIME);
                    execution.exit = Exit::Stopped;
                }
                Answer::Done
            }
            Call::Throttle { .. } => Answer::Done,
        }
    }

    fn snapshot(&self, now: Instant) -> Answer {
        let rows = self.running.keys().map(|(task, run)| running(*task, *run));
        Answer::Snapshot(Snapshot {
            started_ms: Some(self.started_ms),
            clock: now.0,
            running: rows.collect(),
            ends: self.ends.clone(),
        })
    }

    fn refusal(&self, now: Instant, deadline: u64, start: &Start) -> Option<Refusal> {
        if self.running.contains_key(&(start.task, start.run)) {
            return None;
        }
        let is_over = self
            .over
            .get(&start.task)
            .is_some_and(|run| start.run <= *run);
        match (is_over, now.0 >= deadline) {
            (true, _) => Some(Refusal::Superseded),
            (_, true) => Some(Refusal::LeaseExpired),
            _ => None,
        }
    }

    /// Returns whether a call is a start that the worker would carry out.
    pub(crate) fn would_start<'a>(&self, now: Instant, call: &'a Call) -> Option<&'a Start> {
        let Call::Start {
            fence,
            deadline,
            start,
        } = call
        else {
            return None;
        };
        let known = self.running.contains_key(&(start.task, start.run));
        let accepted =
            *fence >= self.fence && self.refusal(now, deadline.until_ms, start).is_none();
        (accepted && !known).then_some(start)
    }

    /// Returns whether a start fits beside everything that runs or is being
    /// stopped, by the present room or one that still counts.
    pub(crate) fn has_room(&self, now: Instant, start: &Start) -> bool {
        let rooms = self.running.values().map(|execution| execution.room);
        let used = rooms.fold(start.role.room, |sum, room| sum + room);
        let recent = self
            .former
            .iter()
            .filter(|(until, _)| now < *until + SHRINK_GRACE)
            .map(|(_, room)| room);
        recent.chain([&self.room]).any(|room| room.fits(&used))
    }
}
