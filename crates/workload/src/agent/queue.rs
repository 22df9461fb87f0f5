//! Orders to the worker that wait until others have been answered.

use {
    super::{
        rejection::{Cause, Rejection},
        Action, Agent, Call, Deadline, Order,
    },
    crate::{
        id::{Fence, Run, Task},
        message::Start,
    },
    filbertbend_state::time::Instant,
    std::collections::VecDeque,
};

/// The maximum number of concurrent orders to the worker. Polls do not count.
const MAX_CONCURRENT_ORDERS: usize = 4;

/// An order that waits.
#[derive(Debug)]
pub(super) enum Waiting {
    Start(Start),
    Other(Call),
}

/// The orders that wait, and the number of those without an answer.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
    unanswered: usize,
}

impl Queue {
    pub(super) fn push(&mut self, order: Waiting) {
        self.waiting.push_back(order);
    }

    /// Drops the orders that wait.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Takes into account that an order has been answered, or that it was not
    /// sent after all.
    pub(super) fn answered(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Removes a start that waits; returns whether there was one.
    pub(super) fn withdraw(&mut self, task: Task, run: Run) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|order| {
            !matches!(order, Waiting::Start(start) if (start.task, start.run) == (task, run))
        });
        self.waiting.len() < before
    }

    /// Takes the next order if it may be sent.
    fn next(&mut self) -> Option<Waiting> {
        if self.unanswered >= MAX_CONCURRENT_ORDERS {
            return None;
        }
        let order = self.waiting.pop_front()?;
        self.unanswered += 1;
        Some(order)
    }
}

impl Agent {
    /// Sends the orders whose turn has come. Whether a start is still possible
    /// is decided only then, since it may have waited for long.
    pub(super) fn send_orders(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.profile.is_none() {
            return;
        }
        while let Some(order) = self.queue.next() {
            let start = match order {
                Waiting::Start(start) => start,
                Waiting::Other(call) => {
                    actions.push(Action::Call(call));
                    continue;
                }
            };
            match self.permit(now, &start) {
                Ok((fence, deadline)) => {
                    if let Some(session) = &mut self.session {
                        session.start_sent(now);
                    }
                    let key = (start.task, start.run);
                    self.issued.insert(key, Order::Starting);
                    self.presence.ordered(now, start.task, start.run);
                    self.roles.insert(key, start.role.clone());
                    let call = Call::Start {
                        fence,
                        deadline,
                        start,
                    };
                    self.unanswered.sent(now, &call);
                    actions.push(Action::Call(call));
                }
                Err(cause) => {
                    let Start { task, run, .. } = start;
                    self.queue.answered();
                    self.outcome(task, run, cause.status());
                    actions.push(Action::Rejected(Rejection { task, run, cause }));
                }
            }
        }
    }

    /// Returns the fence and the end of the lease for a start, or why it must not
    /// be sent.
    fn permit(&self, now: Instant, start: &Start) -> Result<(Fence, Deadline), Cause> {
        let (Some(session), Some(profile), Some(deadline)) =
            (&self.session, &self.profile, self.deadline(now))
        else {
            return Err(Cause::Unprepared);
        };
        if !self.is_leased(now) {
            let left = self.lease_until.unwrap_or_default().since(now);
            return Err(Cause::LeaseEnding { left });
        }
        if profile.draining {
            return Err(Cause::Draining);
        }
        if !self.heard {
            return Err(Cause::ProfileUnconfirmed);
        }
        let occupancy = self.occupancy(profile, start);
        if !occupancy.has_room() {
            return Err(Cause::NoRoom(occupancy));
        }
        Ok((session.fence, deadline))
    }
}
