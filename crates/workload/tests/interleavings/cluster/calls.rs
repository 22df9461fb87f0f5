//! Calls of agents to their workers, which are late, lost, or reach another life
//! of the worker than they were meant for.

use {
    super::{Cluster, Happening},
    filbertbend_state::time::Instant,
    filbertbend_workload::{
        agent::{Answer, Call, Event as Input, Refusal},
        id::{Run, Task},
        worker::Exit,
    },
};

const CALL_TIMEOUT: u64 = 700;
/// Whether the client refuses calls that are meant for another life than the one
/// that answers it. Late calls escape it.
const CLIENT_REFUSES: bool = true;
/// The longest time after which a call takes effect.
const LATE_LIMIT: u64 = 12_000;

pub(super) struct Pending {
    side: usize,
    generation: u64,
    /// When the incarnation began that the call is meant for.
    addressee: Option<u64>,
    call: Call,
    sent: u64,
    /// Whether the call takes effect late, without the agent's client.
    late: bool,
    open: bool,
}

/// What the restart of a worker under its name does to calls and heartbeats.
#[derive(Clone, Copy, Default)]
pub(crate) struct Restarts {
    /// Whether the end of the process ends its connections, and so the calls that
    /// it has not answered. Otherwise they time out.
    pub(crate) closes: bool,
    /// The maximum delay of the first heartbeat.
    pub(crate) notice: u64,
    /// Whether a worker carries out starts late that were sent before it began, as
    /// it does with other calls.
    pub(crate) late_starts: bool,
}

impl Cluster {
    pub(super) fn call(&mut self, side: usize, call: Call) {
        let wait = match &call {
            Call::Poll { wait, .. } => wait.0,
            _ => 0,
        };
        let addressee = match &call {
            Call::Identify { incarnation, .. } => Some(incarnation),
            _ => self.sides[side].agent.profile().map(|own| &own.incarnation),
        };
        let addressee = addressee.map(|incarnation| incarnation.started_ms);
        let late = self.chance(self.disorder.late);
        let delay = if late {
            self.pick(5, LATE_LIMIT)
        } else {
            self.pick(1, 3)
        };
        self.order += 1;
        let id = self.order;
        let silent = self.sides[side].silent_until > self.now;
        if !silent && !self.chance(self.disorder.lost) {
            match self.refusal(side, addressee, &call) {
                Some(refusal) => self.at(1, Happening::Answer(id, refusal)),
                None => self.at(delay, Happening::Arrive(id)),
            }
        }
        self.calls.insert(
            id,
            Pending {
                side,
                generation: self.sides[side].generation,
                addressee,
                call,
                sent: self.now,
                late,
                open: true,
            },
        );
        self.at(CALL_TIMEOUT + wait, Happening::Timeout(id));
    }

    /// Returns how the client answers a call that it doesn't send, since another
    /// life than the addressee accepts its connection, or none does.
    fn refusal(&mut self, side: usize, addressee: Option<u64>, call: &Call) -> Option<Answer> {
        let worker = &mut self.workers[side];
        if !CLIENT_REFUSES || matches!(call, Call::Identify { .. }) {
            return None;
        }
        if !worker.up {
            return Some(Answer::Unreachable);
        }
        if addressee == Some(worker.started_ms()) {
            return None;
        }
        // A new connection shows which life answers by a call with the fence.
        Some(Answer::Refused(match worker.accepts(call) {
            true => Refusal::Restarted,
            false => Refusal::Fence,
        }))
    }

    pub(super) fn arrive(&mut self, id: u64) {
        let Some(found) = self.calls.get(&id) else {
            return;
        };
        let (side, late, call) = (found.side, found.late, found.call.clone());
        let worker = &mut self.workers[side];
        let restarted = found.sent < worker.began;
        let may_cross = match late {
            true => self.restarts.late_starts || !matches!(call, Call::Start { .. }),
            // The connection ends with the life that accepted it.
            false => !CLIENT_REFUSES,
        };
        if !worker.up || restarted && !may_cross {
            return self.at(1, Happening::Answer(id, Answer::Lost));
        }
        let is_other = found.addressee != Some(worker.started_ms());
        let identifies = matches!(call, Call::Identify { .. });
        self.truth.crossings += usize::from((restarted || is_other) && !identifies);
        let answer = worker.call(self.now, &call, &mut self.truth);
        let (life, remaining) = (worker.life, worker.remaining(self.now));
        self.at(remaining, Happening::Expire(side));
        match (&call, &answer) {
            (Call::Poll { wait, .. }, Answer::Done) => {
                self.waiting[side].push(id);
                return self.at(wait.0, Happening::Wait(side));
            }
            (Call::Start { start, .. }, Answer::Done) => self.started(side, start.task, start.run),
            (Call::Stop { task, run, .. }, Answer::Done) => {
                let delay = self.pick(0, 200);
                let stopped = Happening::Finish(side, life, *task, *run, Exit::Stopped);
                self.at(delay, stopped);
            }
            _ => {}
        }
        // The connection has ended with the former life.
        if !restarted || !late {
            self.answer(id, answer);
        }
    }

    fn answer(&mut self, id: u64, answer: Answer) {
        if !self.chance(self.disorder.lost) {
            let delay = self.pick(1, 3);
            self.at(delay, Happening::Answer(id, answer));
        }
    }

    fn started(&mut self, side: usize, task: Task, run: Run) {
        let others = (0..self.workers.len()).filter(|other| *other != side);
        for other in others.filter(|other| self.workers[*other].is_running(task)) {
            let found = format!("{task} runs on {other} and, as run {run}, on {side}");
            self.truth.violations.push(found);
        }
        let exit = match self.chance(10) {
            true => Exit::Failed,
            false => Exit::Done,
        };
        let span = self.pick(200, self.run_limit);
        let life = self.workers[side].life;
        self.at(span, Happening::Finish(side, life, task, run, exit));
    }

    /// Answers the polls that wait for an end.
    pub(super) fn wake(&mut self, side: usize) {
        for id in std::mem::take(&mut self.waiting[side]) {
            let answer = self.workers[side].snapshot(self.now);
            self.answer(id, answer);
        }
    }

    /// Delivers the result of a call unless it has timed out.
    pub(super) fn answered(&mut self, id: u64, answer: Answer) {
        let Some(found) = self.calls.get_mut(&id).filter(|found| found.open) else {
            return;
        };
        found.open = false;
        let (side, generation) = (found.side, found.generation);
        let input = Input::Answered {
            call: found.call.clone(),
            sent: Instant(found.sent),
            answer,
        };
        if self.sides[side].generation == generation {
            self.agent(side, input);
        }
    }

    /// Ends the calls that a worker has not answered.
    pub(super) fn close_calls(&mut self, side: usize) {
        let open = |call: &Pending| call.side == side && call.open;
        let ids = self.calls.iter().filter(|(_, call)| open(call));
        for id in ids.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.at(1, Happening::Answer(id, Answer::Lost));
        }
    }
}
