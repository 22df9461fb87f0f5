//! What falls due by time: claims, renewals, ends of leases and repeats.

use {
    super::{
        endpoint::Holder,
        record::{Live, Phase, Stopping},
        Action, Executor,
    },
    crate::{
        attempt::{Attempt, Refusal, Report},
        worker,
    },
    filbertbend_state::time::Instant,
};

/// What is due for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Due {
    Claim,
    GiveUp,
    Renew,
    Save,
    Stop,
    Over,
    Resend,
}

impl Executor {
    /// Does everything that has fallen due.
    pub(super) fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due: Vec<(Attempt, Due)> = self
            .records
            .iter()
            .flat_map(|(attempt, record)| {
                self.due(now, &record.phase)
                    .into_iter()
                    .flatten()
                    .map(|due| (*attempt, due))
            })
            .collect();
        for (attempt, due) in due {
            self.carry_out(now, attempt, due, actions);
        }
        self.expire_waiting(now, actions);
        self.tombstones.prune(now);
    }

    fn due(&self, now: Instant, phase: &Phase) -> [Option<Due>; 2] {
        match phase {
            Phase::Waiting { .. } => [None, None],
            Phase::Reserved {
                since, next_claim, ..
            } => {
                if now >= *since + self.settings.claim_limit {
                    [Some(Due::GiveUp), None]
                } else {
                    [(now >= *next_claim).then_some(Due::Claim), None]
                }
            }
            Phase::Running(live) => {
                let renewable = self.reachable
                    && live.confirmed
                    && !live.missing
                    && !matches!(live.stopping, Some(Stopping::Sent { .. }));
                let ending = self.ending(now, live);
                let renew = renewable
                    && now >= live.next_renewal
                    && !matches!(ending, Some(Due::Stop | Due::Over));
                [ending, renew.then_some(Due::Renew)]
            }
            Phase::Sent(live) => [(now >= live.next_renewal).then_some(Due::Renew), None],
            Phase::Ended { next_send, .. } => [(now >= *next_send).then_some(Due::Resend), None],
        }
    }

    /// Returns which step towards its end a running task is due for.
    fn ending(&self, now: Instant, live: &Live) -> Option<Due> {
        let stop_at = live.lease_end - self.settings.stop_lead;
        let save_at = stop_at - self.settings.checkpoint_limit;
        if now >= live.over_at + self.settings.event_grace {
            return Some(Due::Over);
        }
        match live.stopping {
            Some(Stopping::Sent { next }) => (now >= next).then_some(Due::Stop),
            Some(Stopping::Checkpointing { until }) => {
                (now >= until.min(stop_at)).then_some(Due::Stop)
            }
            None if now >= stop_at => Some(Due::Stop),
            None if now >= save_at && !live.saved => Some(Due::Save),
            None => None,
        }
    }

    fn carry_out(&mut self, now: Instant, attempt: Attempt, due: Due, actions: &mut Vec<Action>) {
        match due {
            Due::Claim => self.claim(now, attempt, actions),
            Due::GiveUp => self.give_up(now, attempt, actions),
            Due::Renew => self.renew(now, attempt, actions),
            Due::Save => self.save(attempt, actions),
            Due::Stop => self.stop(now, attempt, actions),
            Due::Over => {
                if let Some(report) = self.records.get(&attempt).map(|record| record.stopped()) {
                    self.end(now, attempt, report, actions);
                }
            }
            Due::Resend => self.send_end(now, attempt, actions),
        }
    }

    /// Refuses an attempt whose claims nobody answers.
    fn give_up(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        if let Some(slice) = self.records.get(&attempt).map(|record| record.slice) {
            self.refuse(now, slice, attempt, Refusal::NoRoom, actions);
            self.release(now, Holder::Order(attempt), actions);
        }
    }

    /// Asks for a longer lease, noting the time before it is sent.
    fn renew(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let nonce = self.nonce();
        let repeat = self.settings.repeat;
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let slice = record.slice;
        if let Phase::Running(live) | Phase::Sent(live) = &mut record.phase {
            live.questions.add(nonce, now);
            live.next_renewal = now + repeat;
            self.report(slice, attempt, Report::Renew { nonce }, actions);
        }
    }

    /// Takes a checkpoint because the lease runs out without a renewal.
    fn save(&mut self, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if let Phase::Running(live) = &mut record.phase {
            live.saved = true;
            if live.confirmed {
                actions.push(Action::Worker(worker::Command::Checkpoint { attempt }));
            }
        }
    }
}
