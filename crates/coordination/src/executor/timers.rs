//! Timers of attempts: claims, renewals, lease ends and repetitions.

use {
    super::{
        endpoint::Request,
        record::{Phase, Run, Stopping},
        Action, Executor,
    },
    crate::{
        attempt::{Attempt, Refusal, Report},
        worker,
    },
    filbertbend_state::time::Instant,
};

/// The timers that can be due for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Timer {
    Claim,
    ClaimTimeout,
    Renew,
    Checkpoint,
    Stop,
    Expired,
    Resend,
}

impl Executor {
    /// Fires all timers that are due.
    pub(super) fn run_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due: Vec<(Attempt, Timer)> = self
            .records
            .iter()
            .flat_map(|(attempt, record)| {
                self.due_timers(now, &record.phase)
                    .into_iter()
                    .flatten()
                    .map(|timer| (*attempt, timer))
            })
            .collect();
        for (attempt, timer) in due {
            self.fire(now, attempt, timer, actions);
        }
        self.expire_waiting(now, actions);
        self.tombstones.prune(now);
    }

    fn due_timers(&self, now: Instant, phase: &Phase) -> [Option<Timer>; 2] {
        match phase {
            Phase::Waiting { .. } => [None, None],
            Phase::Reserved {
                since, next_claim, ..
            } => {
                if now >= *since + self.settings.claim_timeout {
                    [Some(Timer::ClaimTimeout), None]
                } else {
                    [(now >= *next_claim).then_some(Timer::Claim), None]
                }
            }
            Phase::Running(run) => {
                let renewable = self.reachable
                    && run.confirmed
                    && !run.missing
                    && !matches!(run.stopping, Some(Stopping::Sent { .. }));
                let ending = self.stop_timer(now, run);
                let renew = renewable
                    && now >= run.next_renewal
                    && !matches!(ending, Some(Timer::Stop | Timer::Expired));
                [ending, renew.then_some(Timer::Renew)]
            }
            Phase::Sent(run) => [(now >= run.next_renewal).then_some(Timer::Renew), None],
            Phase::Ended { next_send, .. } => [(now >= *next_send).then_some(Timer::Resend), None],
        }
    }

    /// Returns the timer of a running task that is due and leads to its end.
    fn stop_timer(&self, now: Instant, run: &Run) -> Option<Timer> {
        let stop_at = run.lease_end - self.settings.stop_margin;
        let checkpoint_at = stop_at - self.settings.checkpoint_timeout;
        if now >= run.latest_end + self.settings.event_grace {
            return Some(Timer::Expired);
        }
        match run.stopping {
            Some(Stopping::Sent { next }) => (now >= next).then_some(Timer::Stop),
            Some(Stopping::Checkpointing { until }) => {
                (now >= until.min(stop_at)).then_some(Timer::Stop)
            }
            None if now >= stop_at => Some(Timer::Stop),
            None if now >= checkpoint_at && !run.checkpoint_handled => Some(Timer::Checkpoint),
            None => None,
        }
    }

    fn fire(&mut self, now: Instant, attempt: Attempt, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            Timer::Claim => self.claim(now, attempt, actions),
            Timer::ClaimTimeout => self.claim_timed_out(now, attempt, actions),
            Timer::Renew => self.renew(now, attempt, actions),
            Timer::Checkpoint => self.checkpoint(attempt, actions),
            Timer::Stop => self.stop(now, attempt, actions),
            Timer::Expired => {
                if let Some(report) = self
                    .records
                    .get(&attempt)
                    .map(|record| record.stop_report())
                {
                    self.end(now, attempt, report, actions);
                }
            }
            Timer::Resend => self.send_end(now, attempt, actions),
        }
    }

    /// Refuses an attempt whose claims were not answered in time.
    fn claim_timed_out(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        if let Some(slice) = self.records.get(&attempt).map(|record| record.slice) {
            self.refuse(now, slice, attempt, Refusal::NoRoom, actions);
            self.release_slot(now, Request::Order(attempt), actions);
        }
    }

    /// Requests a longer lease. The lease counts from the time recorded here,
    /// before the request is sent.
    fn renew(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let nonce = self.nonce();
        let retry_interval = self.settings.retry_interval;
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let slice = record.slice;
        if let Phase::Running(run) | Phase::Sent(run) = &mut record.phase {
            run.nonces.add(nonce, now);
            run.next_renewal = now + retry_interval;
            self.report(slice, attempt, Report::Renew { nonce }, actions);
        }
    }

    /// Requests a checkpoint because the lease is about to end and was not
    /// renewed.
    fn checkpoint(&mut self, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if let Phase::Running(run) = &mut record.phase {
            run.checkpoint_handled = true;
            if run.confirmed {
                actions.push(Action::Worker(worker::Command::Checkpoint { attempt }));
            }
        }
    }
}
