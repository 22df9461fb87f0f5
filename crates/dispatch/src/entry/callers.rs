//! Requests of callers: submissions, cancellations and questions.

use {
    super::{
        decode_leader,
        relay::{work_timeout, LONG_RELAY_PATIENCE, RELAY_PATIENCE},
        Entry, ASK_TIMEOUT,
    },
    crate::{
        attempts::{Attempts, Failed, Limits, Path, Step, MIN_ATTEMPT_TIME},
        journal::encode,
        key,
        leader_link::{Answer, Body},
        platform::{Commit, Failure, Revision, Store, Transaction},
        term::Input,
        withdrawal::{self, Permit},
    },
    filbertbend_workload::{
        id::Job,
        job,
        message::{Query, Reply},
        record::{Progress, State},
        relay::{Call, Outcome},
    },
    metrics::counter,
    spdlog::prelude::*,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        time::{sleep, timeout, Instant},
    },
};

/// How a submission is tried. The store answers one write within milliseconds,
/// and up to 60 times slower while the platform is slow.
const SUBMIT_LIMITS: Limits = Limits {
    alone: Duration::from_millis(600),
    patience: Duration::from_millis(500),
    relay_patience: RELAY_PATIENCE,
    rounds: u32::MAX,
};
/// How a cancellation is tried, which takes up to three calls of the store.
const CANCEL_LIMITS: Limits = Limits {
    alone: Duration::from_secs(2),
    patience: Duration::from_secs(1),
    relay_patience: LONG_RELAY_PATIENCE,
    rounds: 6,
};
/// How a stored state is looked for, which takes up to two calls of the store.
const LOOK_LIMITS: Limits = Limits {
    alone: Duration::from_secs(2),
    patience: Duration::from_secs(1),
    relay_patience: LONG_RELAY_PATIENCE,
    rounds: 2,
};

/// The outcome of storing a job that a caller submitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Submission {
    /// The job is stored.
    Accepted,
    /// The job is certainly not stored. Holds the reason.
    Refused(Arc<str>),
    /// The job is certainly not stored, because it was cancelled before, and all
    /// attempts were answered. Holds the time after which its identifier may
    /// certainly be used again.
    Withdrawn(Duration),
    /// The job may be stored, now or later. Holds the last error.
    Unknown(Arc<str>),
}

/// The outcome of storing the cancellation of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cancellation {
    /// The cancellation is stored.
    Accepted,
    /// There is no such job, and a submission that is still on its way will not
    /// be stored.
    UnknownJob,
    /// There is no such job, but a submission that is still on its way may be
    /// stored: too many unknown jobs are being cancelled.
    Refused,
    /// The cancellation may be stored, now or later. Holds the last error.
    Unknown(Arc<str>),
}

impl<S: Store> Entry<S> {
    /// Stores a job within the time `limit`. Idempotent: the same job may be
    /// submitted again at any entry.
    pub async fn submit(&self, id: Job, job: &job::Job, limit: Duration) -> Submission {
        if limit < MIN_ATTEMPT_TIME {
            return Submission::Refused("no time is left".into());
        }
        let call = Call::Submit(id, encode(job).into());
        let attempts = Attempts::new(SUBMIT_LIMITS, Instant::now(), limit);
        match self.carry_out(attempts, &call).await {
            Ok(Outcome::Withdrawn) => Submission::Withdrawn(withdrawal::MAX_RETENTION.duration()),
            Ok(_) => Submission::Accepted,
            Err(Failed::Refused(reason)) => Submission::Refused(reason),
            Err(Failed::Lost(reason)) => Submission::Unknown(reason),
        }
    }

    /// Stores the cancellation of a job. If the job is not stored, a submission
    /// of it may still be on its way, so its identifier is withdrawn.
    pub async fn cancel(&self, id: Job) -> Cancellation {
        let limit = CANCEL_LIMITS.alone;
        let attempts = Attempts::new(CANCEL_LIMITS, Instant::now(), limit);
        match self.carry_out(attempts, &Call::Cancel(id)).await {
            Ok(Outcome::NotFound) => Cancellation::UnknownJob,
            Ok(Outcome::Exhausted) => Cancellation::Refused,
            Ok(_) => Cancellation::Accepted,
            Err(Failed::Refused(reason) | Failed::Lost(reason)) => Cancellation::Unknown(reason),
        }
    }

    /// Returns the state of a job, or `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns the store's error if neither the leader nor the store answered.
    pub async fn state(&self, id: Job) -> Result<Option<State>, Failure> {
        if let Some(Reply::State(Some(state))) = self.ask_leader(Query::State(id)).await {
            return Ok(Some(state));
        }
        // The leader may not have seen the job yet, or may be unreachable.
        let attempts = Attempts::new(LOOK_LIMITS, Instant::now(), LOOK_LIMITS.alone);
        match self.carry_out(attempts, &Call::Look(id)).await {
            Ok(Outcome::State(state)) => Ok(state),
            Ok(_) => Err(Failure::Lost("unexpected answer".into())),
            Err(Failed::Refused(reason)) => Err(Failure::Refused(reason)),
            Err(Failed::Lost(reason)) => Err(Failure::Lost(reason)),
        }
    }

    /// Returns the number of jobs of a queue that have not started, or `None`
    /// if the leader doesn't answer.
    pub async fn pending(&self, queue: &Arc<str>) -> Option<u64> {
        match self.ask_leader(Query::Pending(queue.clone())).await? {
            Reply::Pending(count) => Some(count),
            _ => None,
        }
    }

    /// Asks the leader, which may be this entry.
    async fn ask_leader(&self, question: Query) -> Option<Reply> {
        let answered = if self.inbox.is_open() {
            let (sender, receiver) = oneshot::channel();
            self.inbox.send(Input::Ask(question, sender)).await;
            timeout(ASK_TIMEOUT, receiver).await.ok()?.ok()
        } else {
            let leader = decode_leader(&self.leader)?;
            if *leader.node == *self.options.node {
                return None;
            }
            let asked = self.leader_link.ask(leader, Body::Query(question), None)?;
            match timeout(ASK_TIMEOUT, asked.answer).await {
                Ok(Ok(Answer::Reply(reply))) => Some(reply),
                _ => None,
            }
        };
        if answered.is_none() {
            counter!("filbertbend_leader_silent_total").increment(1);
        }
        answered
    }

    /// Carries a call out, by this process or the leader's.
    async fn carry_out(&self, mut attempts: Attempts, call: &Call) -> Result<Outcome, Failed> {
        loop {
            match attempts.next(Instant::now(), self.reach()) {
                Step::Try(Path::Store, limit) => match self.call_store(call, limit).await {
                    Ok(Some(outcome)) => return attempts.finish(outcome),
                    Ok(None) => {
                        let reason = "the job has changed".into();
                        attempts.failed(Path::Store, Failed::Refused(reason));
                    }
                    Err(failed) => attempts.failed(Path::Store, failed),
                },
                Step::Try(Path::Leader, limit) => match self.relay(call, limit).await {
                    Ok(outcome) => return attempts.finish(outcome),
                    Err(failed) => attempts.failed(Path::Leader, failed),
                },
                Step::Pause(delay) => sleep(delay).await,
                Step::GiveUp => return Err(attempts.outcome()),
            }
        }
    }

    /// Carries a call out against the store and notes whether it answers. Returns
    /// `None` if the call had no effect, because the job was stored or removed
    /// meanwhile. A call with less time than usual that gets no answer says nothing
    /// about the store.
    pub(super) async fn call_store(
        &self,
        call: &Call,
        limit: Duration,
    ) -> Result<Option<Outcome>, Failed> {
        let called = async {
            match call {
                Call::Submit(id, value) => self.try_submit(*id, value).await,
                Call::Cancel(id) => self.try_cancel(*id).await,
                Call::Look(id) => self.stored_state(*id).await,
                // Answered without a call of the store.
                Call::Probe => Ok(None),
            }
        };
        let Ok(called) = timeout(limit, called).await else {
            if limit >= work_timeout(call) {
                self.leader.report_failure();
            }
            let error = Failure::Lost("no answer in time".into());
            return Err(Failed::Lost(error.to_string().into()));
        };
        match called {
            Ok(outcome) => {
                self.leader.report_answer();
                Ok(outcome)
            }
            Err(error) => {
                self.leader.report_failure();
                Err(match error {
                    Failure::Refused(reason) => Failed::Refused(reason),
                    error => Failed::Lost(error.to_string().into()),
                })
            }
        }
    }

    /// Makes one attempt to store a job.
    async fn try_submit(&self, id: Job, value: &[u8]) -> Result<Option<Outcome>, Failure> {
        let transaction = Transaction {
            expect: vec![
                (key::job(id), Revision(0)),
                (key::withdrawal(id), Revision(0)),
            ],
            set: vec![(key::job(id), value.to_vec(), None)],
            remove: Vec::new(),
        };
        match self.store.commit(&transaction).await? {
            Commit::Done(_) => Ok(Some(Outcome::Stored)),
            // The job is already stored, by this call or an earlier one, or it was
            // cancelled before.
            Commit::Conflict(items) => {
                let is_stored = items.iter().any(|item| item.key == key::job(id));
                let outcome = if is_stored {
                    Outcome::Stored
                } else {
                    Outcome::Withdrawn
                };
                Ok(Some(outcome))
            }
            Commit::LeaseNotFound => Err(Failure::Refused("a lease was expected".into())),
        }
    }

    /// Makes one attempt to cancel a job. Returns `None` if the job was stored
    /// or removed meanwhile.
    async fn try_cancel(&self, id: Job) -> Result<Option<Outcome>, Failure> {
        let job = key::job(id);
        let found = self.store.get(&job).await?;
        let (revision, marker, outcome) = if let Some(found) = found {
            let marker = (key::cancellation(id), Vec::new(), None);
            (found.revision, marker, Outcome::Stored)
        } else {
            let lease = match self.withdrawals.permit(&self.store, id).await? {
                Permit::Granted(lease) => lease,
                Permit::Exhausted => return Ok(Some(Outcome::Exhausted)),
            };
            let marker = (key::withdrawal(id), Vec::new(), Some(lease));
            (Revision(0), marker, Outcome::NotFound)
        };
        let lease = marker.2;
        let transaction = Transaction {
            expect: vec![(job, revision)],
            set: vec![marker],
            remove: Vec::new(),
        };
        match self.store.commit(&transaction).await? {
            Commit::Done(_) => Ok(Some(outcome)),
            Commit::Conflict(_) => Ok(None),
            Commit::LeaseNotFound => {
                if let Some(lease) = lease {
                    self.withdrawals.discard(lease);
                }
                Ok(None)
            }
        }
    }

    /// Reads the state of a job from the store.
    async fn stored_state(&self, id: Job) -> Result<Option<Outcome>, Failure> {
        if self.store.get(&key::job(id)).await?.is_none() {
            return Ok(Some(Outcome::State(None)));
        }
        let Some(item) = self.store.get(&key::progress(id)).await? else {
            return Ok(Some(Outcome::State(Some(State::Queued))));
        };
        let progress: Progress = postcard::from_bytes(&item.value).map_err(|error| {
            error!("progress cannot be decoded", kv: { job: = id, error: });
            Failure::Lost("progress cannot be decoded".into())
        })?;
        Ok(Some(Outcome::State(Some(progress.state))))
    }
}
