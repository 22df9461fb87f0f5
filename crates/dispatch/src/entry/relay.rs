//! Calls of the store that an entry passes on to the leader, and those that it
//! carries out for others while it leads. See `docs/design/relay.md`.

#[cfg(test)]
mod tests;

use {
    super::{decode_leader, Entry},
    crate::{
        attempts::{self, Failed, Reach, MIN_ATTEMPT_TIME},
        budget::{Amount, Budget, Permit},
        leader_link::{Answer, Body},
        platform::Store,
    },
    filbertbend_workload::{
        message::Response,
        record::Leader,
        relay::{Call, Outcome},
    },
    metrics::counter,
    spdlog::prelude::*,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout, Instant},
    },
};

/// The calls that an entry has passed on, and those that a leader carries out, at
/// one time. A leader that reaches the store answers thousands of them a second.
const IN_PROGRESS_LIMIT: Amount = Amount {
    count: 64,
    bytes: 4 << 20,
};
/// Maximum size of one job, in bytes: a quarter of a frame, so that its message
/// never breaks the link.
const MESSAGE_LIMIT_BYTES: usize = 1 << 20;
/// How long a leader works on a submission, less than its entry waits.
const WORK_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the answer to a relayed submission or probe is waited for.
pub(super) const RELAY_PATIENCE: Duration = Duration::from_millis(500);
/// How long a leader works on a cancellation or a look, which take up to three
/// and two calls of the store.
const LONG_WORK_TIMEOUT: Duration = Duration::from_millis(900);
/// How long the answer to a relayed cancellation or look is waited for.
pub(super) const LONG_RELAY_PATIENCE: Duration = Duration::from_secs(1);
/// Pause after a call that was not answered, in which the link may be replaced.
const SUSPECT_PAUSE: Duration = Duration::from_millis(300);
/// Pause after the leader has refused a call, since it is busy or the store turns
/// it away too.
const CLOSED_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which an entry that the store turns away asks the leader whether
/// it reaches the store.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How long an answer of the leader proves that calls can be passed on. Several
/// probes.
const PROOF_LIFETIME: Duration = Duration::from_millis(3500);
/// A process that did not run for this long counts as stalled. A call that it
/// then reads may be as old, and must not take effect after the withdrawal of
/// its job has expired.
const STALL_LIMIT: Duration = Duration::from_secs(5);
/// For how long calls are refused after a stall: until those that had arrived
/// are read.
const STALL_PAUSE: Duration = Duration::from_secs(2);

/// Returns how long a leader works on a call. A store that serves its process
/// answers sooner.
pub(super) fn work_timeout(call: &Call) -> Duration {
    match call {
        Call::Submit(..) | Call::Probe => WORK_TIMEOUT,
        Call::Cancel(_) | Call::Look(_) => LONG_WORK_TIMEOUT,
    }
}

/// What an entry knows about passing calls on.
#[derive(Debug)]
pub(super) struct Relay {
    budget: Budget,
    proven_at: Cell<Option<Instant>>,
    suspect_until: Cell<Instant>,
    closed_until: Cell<Instant>,
    /// When the process last ran for certain.
    ran_at: Cell<Instant>,
    stalled_until: Cell<Instant>,
}

impl Default for Relay {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            budget: Budget::new(IN_PROGRESS_LIMIT),
            proven_at: Cell::default(),
            suspect_until: Cell::new(now),
            closed_until: Cell::new(now),
            ran_at: Cell::new(now),
            stalled_until: Cell::new(now),
        }
    }
}

impl Relay {
    /// Returns whether the leader has reached the store for this entry recently.
    pub(super) fn is_proven(&self) -> bool {
        let proven_at = self.proven_at.get();
        proven_at.is_some_and(|proven_at| proven_at.elapsed() < PROOF_LIFETIME)
    }

    /// Notes that the process runs. Called every [`PROBE_INTERVAL`].
    fn note_run(&self, now: Instant) {
        if now - self.ran_at.replace(now) > STALL_LIMIT {
            warn!("process was stalled, calls of other entries are refused for a while");
            self.stalled_until.set(now + STALL_PAUSE);
        }
    }

    /// Returns whether a call that is read now was sent a short time ago.
    fn is_timely(&self, now: Instant) -> bool {
        now - self.ran_at.get() <= STALL_LIMIT && now >= self.stalled_until.get()
    }

    fn state(&self, now: Instant) -> attempts::Relay {
        if now < self.closed_until.get() {
            attempts::Relay::Closed
        } else if now < self.suspect_until.get() {
            attempts::Relay::Suspect
        } else {
            attempts::Relay::Open
        }
    }

    fn note(&self, result: &Result<Outcome, Failed>, answered: bool) {
        let now = Instant::now();
        match result {
            Ok(_) => self.proven_at.set(Some(now)),
            Err(Failed::Refused(_)) if answered => self.closed_until.set(now + CLOSED_PAUSE),
            Err(_) => self.suspect_until.set(now + SUSPECT_PAUSE),
        }
    }
}

impl<S: Store> Entry<S> {
    /// Returns what this entry knows about the ways to the store.
    pub(super) fn reach(&self) -> Reach {
        let relay = match self.other_leader() {
            Some(_) => self.relay.state(Instant::now()),
            None => attempts::Relay::Closed,
        };
        Reach {
            away: self.leader.away(),
            relay,
        }
    }

    /// Returns the leader that calls can be passed on to.
    fn other_leader(&self) -> Option<Leader> {
        if self.inbox.is_open() {
            return None;
        }
        decode_leader(&self.leader).filter(|leader| *leader.node != *self.options.node)
    }

    /// Passes a call on to the leader and waits for its outcome.
    pub(super) async fn relay(&self, call: &Call, limit: Duration) -> Result<Outcome, Failed> {
        let begun = Instant::now();
        let result = self.ask_to_carry_out(call, limit).await;
        let outcome = match &result {
            Ok(outcome) => outcome.to_string(),
            Err(Failed::Refused(reason) | Failed::Lost(reason)) => reason.to_string(),
        };
        let label = match &result {
            Ok(outcome) => outcome.to_string(),
            Err(Failed::Refused(_)) => "refused".to_owned(),
            Err(Failed::Lost(_)) => "unknown".to_owned(),
        };
        counter!("filbertbend_relays_total", "call" => call.to_string(), "outcome" => label)
            .increment(1);
        if let Some(job) = call.job() {
            let away = self.leader.away().unwrap_or_default();
            info!("call of the store passed on to the leader", kv: {
                job: = job,
                call: = call,
                outcome: = outcome.as_str(),
                ms = begun.elapsed().as_millis() as u64,
                away_ms = away.as_millis() as u64
            });
        }
        result
    }

    async fn ask_to_carry_out(&self, call: &Call, limit: Duration) -> Result<Outcome, Failed> {
        let refused = |reason: &str| Err(Failed::Refused(reason.into()));
        let Some(leader) = self.other_leader() else {
            return refused("no leader is known");
        };
        if call.bytes() > MESSAGE_LIMIT_BYTES {
            return refused("too large to be passed on");
        }
        let Some(permit) = self.relay.budget.admit(call.bytes()) else {
            return refused("too many calls are being passed on");
        };
        let body = Body::Relay(call.clone());
        let Some(mut asked) = self.leader_link.ask(leader, body, Some(permit)) else {
            return refused("too many questions wait for the leader");
        };
        let answer = timeout(limit, &mut asked.answer).await;
        let answered = matches!(answer, Ok(Ok(_)));
        let result = match answer {
            Ok(Ok(Answer::Relayed(Outcome::Refused))) => {
                refused("the leader does not reach the store")
            }
            Ok(Ok(Answer::Relayed(Outcome::Unknown))) => {
                Err(Failed::Lost("the store gave the leader no answer".into()))
            }
            Ok(Ok(Answer::Relayed(outcome))) => Ok(outcome),
            _ if asked.is_sent() => Err(Failed::Lost("the leader gave no answer".into())),
            _ => refused("the leader is not reached"),
        };
        self.relay.note(&result, answered);
        result
    }

    /// Asks the leader now and then whether it reaches the store while this entry
    /// does not, so that an entry without callers knows whether it can serve.
    pub(super) async fn probe(self: Rc<Self>) {
        loop {
            sleep(PROBE_INTERVAL).await;
            self.relay.note_run(Instant::now());
            if self.leader.away().is_some() && self.other_leader().is_some() {
                // The outcome is noted.
                let _ = self.relay(&Call::Probe, RELAY_PATIENCE).await;
            }
        }
    }

    /// Carries out a call that another entry has passed on, and answers it. A call
    /// beyond what may be in progress is refused at once.
    pub(super) fn serve_relay(
        self: &Rc<Self>,
        ticket: u64,
        call: Call,
        outbox: &mpsc::Sender<Response>,
    ) {
        let permit = self.relay.budget.admit(call.bytes());
        let entry = self.clone();
        let outbox = outbox.clone();
        tokio::task::spawn_local(async move {
            let outcome = entry.carry_out_for(&call, permit).await;
            let label = outcome.to_string();
            counter!("filbertbend_relays_served_total", "call" => call.to_string(), "outcome" => label)
                .increment(1);
            if let Some(job) = call.job() {
                info!("call of the store carried out for another entry", kv: {
                    job: = job,
                    call: = call,
                    outcome: = outcome
                });
            }
            // Fails only if the link is closed, which needs no answer.
            let _ = outbox.send(Response::Relayed(ticket, outcome)).await;
        });
    }

    async fn carry_out_for(&self, call: &Call, permit: Option<Permit>) -> Outcome {
        // Once the store has turned this process away for a while, a call would
        // only keep the entry waiting and leave its outcome unknown.
        let away = self.leader.away();
        let serves =
            away.is_none_or(|away| away < WORK_TIMEOUT) && self.relay.is_timely(Instant::now());
        let Some(_permit) = permit.filter(|_| serves) else {
            return Outcome::Refused;
        };
        if *call == Call::Probe {
            return if self.reaches_store() {
                Outcome::Stored
            } else {
                Outcome::Refused
            };
        }
        let mut left = work_timeout(call);
        let deadline = Instant::now() + left;
        while left >= MIN_ATTEMPT_TIME {
            match self.call_store(call, left).await {
                Ok(Some(outcome)) => return outcome,
                // The job has changed meanwhile.
                Ok(None) => {}
                Err(Failed::Refused(_)) => return Outcome::Refused,
                Err(Failed::Lost(_)) => return Outcome::Unknown,
            }
            left = deadline.saturating_duration_since(Instant::now());
        }
        Outcome::Unknown
    }
}
