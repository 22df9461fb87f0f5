//! Decides what follows each try of one request.

use {
    super::{Budget, Hedge},
    filbertbend_state::{
        id,
        outcome::{Outcome, Ran, Reason},
        service::Declaration,
        time::Instant,
        unit::Millis,
    },
};

/// Minimum retry delay returned when the retry budget is spent.
const BUDGET_RETRY_AFTER_MS: Millis = Millis(1000);

/// The result of one try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The endpoint's answer has begun and is being passed to the caller.
    Answered,
    /// The request did not reach the endpoint: the agent refused it, or it was
    /// not written to any connection.
    Refused {
        /// The reason of the refusal.
        reason: Reason,
        /// The time after which a retry at the same endpoint may succeed.
        retry_after: Millis,
    },
    /// The connection failed, or the endpoint's answer was incomplete, after the
    /// request was sent and before any of the answer was passed on.
    Broken,
    /// The try timed out without an answer.
    Timeout,
    /// The agent reported that the deadline has passed.
    Expired {
        /// Whether the endpoint may have started the request.
        started: bool,
    },
}

/// What follows the end of a try.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Retry at an endpoint that is not in [`Plan::tried`].
    Retry,
    /// Wait for another try of the request that is still in progress.
    Wait,
    /// Pass the answer on, and cancel the remaining tries.
    Answer {
        /// The endpoints at which the remaining tries are in progress.
        cancel: Vec<id::Endpoint>,
    },
    /// Answer the caller with this outcome.
    Finish(Outcome),
}

/// Tracks the tries of one request.
#[derive(Clone, Debug)]
pub struct Plan {
    service: id::Service,
    idempotent: bool,
    max_tries: u8,
    deadline: Instant,
    tries: u8,
    hedged: bool,
    /// Whether a try may have run at an endpoint; if so, the request can no
    /// longer be reported as not run.
    may_have_run: bool,
    in_progress: Vec<id::Endpoint>,
    tried: Vec<id::Endpoint>,
}

impl Plan {
    /// Creates the plan of a request that has not been sent.
    pub fn new(declaration: &Declaration, deadline: Instant) -> Self {
        Self {
            service: declaration.name.clone(),
            idempotent: declaration.idempotent,
            max_tries: declaration.retry.tries.max(1),
            deadline,
            tries: 0,
            hedged: false,
            may_have_run: false,
            in_progress: Vec::new(),
            tried: Vec::new(),
        }
    }

    /// Records that a try is sent to `endpoint`.
    pub fn sent(&mut self, endpoint: id::Endpoint) {
        self.tries = self.tries.saturating_add(1);
        self.in_progress.push(endpoint.clone());
        self.tried.push(endpoint);
    }

    /// Returns the endpoints to which tries were sent, in order.
    pub fn tried(&self) -> &[id::Endpoint] {
        &self.tried
    }

    /// Returns the number of tries that count against the limit.
    pub fn tries(&self) -> u8 {
        self.tries
    }

    /// Returns the time until the deadline, which limits the next try.
    pub fn remaining(&self, now: Instant) -> Millis {
        self.deadline.since(now)
    }

    /// Decides what follows the end of the try at `endpoint`.
    pub fn ended(
        &mut self,
        now: Instant,
        endpoint: &id::Endpoint,
        completion: Completion,
        budget: &mut Budget,
    ) -> Next {
        self.in_progress.retain(|found| found != endpoint);
        match completion {
            Completion::Answered => Next::Answer {
                cancel: std::mem::take(&mut self.in_progress),
            },
            Completion::Refused {
                reason,
                retry_after,
            } => self.after_refusal(now, reason, retry_after, budget),
            Completion::Broken | Completion::Timeout => self.after_failure(now, budget),
            Completion::Expired { started } => {
                self.may_have_run |= started;
                if self.in_progress.is_empty() {
                    Next::Finish(self.expired())
                } else {
                    Next::Wait
                }
            }
        }
    }

    /// Returns whether a hedge is sent now, [`Hedge::delay`] after the first
    /// try, and takes it out of the budget. A request is hedged at most once.
    pub fn try_hedge(
        &mut self,
        now: Instant,
        declaration: &Declaration,
        hedge: &Hedge,
        budget: &mut Budget,
    ) -> bool {
        let allowed = self.idempotent
            && !self.hedged
            && self.in_progress.len() == 1
            && self.tries < self.max_tries
            && hedge
                .delay(declaration)
                .is_some_and(|delay| self.remaining(now) > delay)
            && budget.try_take(now, &self.service);
        self.hedged |= allowed;
        allowed
    }

    /// Returns the outcome if the deadline passes before an answer, or before
    /// an endpoint is found for an allowed retry.
    pub fn expired(&self) -> Outcome {
        let certain = !self.may_have_run && self.in_progress.is_empty();
        Outcome::Expired {
            ran: if certain { Ran::No } else { Ran::Unknown },
        }
    }

    /// Decides what follows if no endpoint was found for a try.
    pub fn unplaced(&self, reason: Reason, retry_after: Millis) -> Next {
        if !self.in_progress.is_empty() {
            return Next::Wait;
        }
        Next::Finish(if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::Refused {
                reason,
                retry_after_ms: retry_after,
            }
        })
    }

    fn after_refusal(
        &mut self,
        now: Instant,
        reason: Reason,
        retry_after: Millis,
        budget: &mut Budget,
    ) -> Next {
        if !self.in_progress.is_empty() {
            return Next::Wait;
        }
        if self.remaining(now) == Millis::ZERO {
            return Next::Finish(self.expired());
        }
        if reason == Reason::Leaving && !self.may_have_run {
            // After its first refusal, a leaving agent gets no further request,
            // so these retries cannot become a storm. Without them, a graceful
            // shutdown would refuse admitted requests.
            self.tries = self.tries.saturating_sub(1);
            return Next::Retry;
        }
        if self.tries >= self.max_tries || (self.may_have_run && !self.idempotent) {
            return self.unplaced(reason, retry_after);
        }
        if budget.try_take(now, &self.service) {
            Next::Retry
        } else {
            self.unplaced(Reason::RetryBudget, retry_after.max(BUDGET_RETRY_AFTER_MS))
        }
    }

    fn after_failure(&mut self, now: Instant, budget: &mut Budget) -> Next {
        self.may_have_run = true;
        if !self.in_progress.is_empty() {
            return Next::Wait;
        }
        if self.remaining(now) == Millis::ZERO {
            return Next::Finish(self.expired());
        }
        let allowed =
            self.idempotent && self.tries < self.max_tries && budget.try_take(now, &self.service);
        if allowed {
            Next::Retry
        } else {
            Next::Finish(Outcome::Unknown)
        }
    }
}
