//! The lease of the worker: requests to the leader, deadlines for the worker, and
//! what a new leader is told about it.

use {
    super::{Action, Agent, Answer, Call, Deadline, Snapshot, RETRY_DELAY},
    crate::{leadership::LEASE_RENEW_INTERVAL, message::KnownLease},
    filbertbend_state::{time::Instant, unit::Millis},
};

/// The maximum snapshot age for renewing the lease: one poll and some delay.
const STALE_AFTER: Millis = Millis(900);
/// The remaining lease that is required to send a start.
const LEASE_MARGIN: Millis = Millis(300);
/// How long after a snapshot the lease is passed on. The longer it takes, the more
/// often the worker has ended meanwhile and the call stays without an answer.
const FRESH_LIMIT: Millis = Millis(20);
/// What is left of the confirmed lease when it is passed on at any time. Several
/// attempts fit into it if calls go unanswered.
const URGENT_LIMIT: Millis = Millis(2500);

/// The calls that pass the granted lease on to the worker.
#[derive(Debug, Default)]
pub(super) struct Extension {
    /// The lease that the call in progress passes on.
    in_progress: Option<Instant>,
    /// The lease that the worker has confirmed.
    confirmed: Option<Instant>,
    retry_at: Instant,
}

impl Extension {
    pub(super) fn end_session(&mut self) {
        self.in_progress = None;
    }

    pub(super) fn forget_incarnation(&mut self) {
        *self = Self::default();
    }
}

impl Agent {
    /// Requests a lease while the worker answers. If the worker is gone for
    /// good, a lease would delay the restart of its tasks elsewhere.
    pub(super) fn renew(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due =
            |last: Option<Instant>| last.is_none_or(|last| now >= last + LEASE_RENEW_INTERVAL);
        if self.session.is_none() || !due(self.last_renewal) {
            return;
        }
        if self.polled.is_some_and(|polled| now < polled + STALE_AFTER) {
            self.renewal_number += 1;
            self.last_renewal = Some(now);
            self.renewals.push_back((self.renewal_number, now));
            self.report.renew = Some(self.renewal_number);
            self.report.starved = self.throttle.starved(now);
        } else if due(self.last_ping) {
            self.last_ping = Some(now);
            actions.push(Action::Ping);
        }
    }

    /// Records the grant of the lease that was asked for with this number.
    pub(super) fn lease_granted(&mut self, request: u64, lease: Millis) {
        while let Some((number, asked)) = self.renewals.pop_front() {
            if number == request {
                let until = asked + lease;
                self.lease_until = self.lease_until.max(Some(until));
                self.granted_until = self.granted_until.max(until);
                break;
            }
        }
    }

    /// Passes the granted lease on if the worker has not confirmed it yet: just
    /// after the worker has answered a poll, or at once if the lease runs out.
    pub(super) fn extend(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let granted = self.lease_until.max(self.extension.confirmed);
        let is_idle = self.extension.in_progress.is_none() && now >= self.extension.retry_at;
        let is_fresh = self.polled.is_some_and(|polled| now < polled + FRESH_LIMIT);
        let is_urgent = self
            .extension
            .confirmed
            .is_none_or(|until| until <= now + URGENT_LIMIT);
        if !is_idle || !(is_fresh || is_urgent) || granted == self.extension.confirmed {
            return;
        }
        let Some(session) = self.session.as_ref().filter(|session| session.inventoried) else {
            return;
        };
        let (Some(until), Some(deadline)) = (granted, self.deadline(now)) else {
            return;
        };
        self.extension.in_progress = Some(until);
        let call = Call::Extend {
            fence: session.fence,
            deadline,
        };
        self.unanswered.sent(now, &call);
        actions.push(Action::Call(call));
    }

    pub(super) fn extended(
        &mut self,
        now: Instant,
        sent: Instant,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let passed_on = self.extension.in_progress.take();
        match answer {
            Answer::Snapshot(snapshot) if self.is_other_incarnation(sent, &snapshot) => {
                self.is_misled = true;
                self.lose_session(now, true, actions);
            }
            Answer::Snapshot(snapshot) => {
                self.extension.confirmed = passed_on;
                self.read_clock(now, &snapshot);
            }
            Answer::Done | Answer::Refused(_) | Answer::Unreachable | Answer::Lost => {
                self.extension.retry_at = now + RETRY_DELAY;
            }
        }
    }

    /// Reading the clock as late as possible makes a lease expire early.
    pub(super) fn read_clock(&mut self, now: Instant, snapshot: &Snapshot) {
        self.clock = Some((now, snapshot.clock));
    }

    /// Returns the end of the unexpired lease on the worker's clock.
    pub(super) fn deadline(&self, now: Instant) -> Option<Deadline> {
        let until = self.lease_until.filter(|until| *until > now)?;
        let (read, clock) = self.clock?;
        Some(Deadline {
            incarnation: self.profile.as_ref()?.incarnation.clone(),
            until_ms: clock.saturating_add(until.since(read).0),
            read_ms: clock,
            age: now.since(read),
        })
    }

    /// Returns whether enough of the lease is left to send a start.
    pub(super) fn is_leased(&self, now: Instant) -> bool {
        self.lease_until
            .is_some_and(|until| until > now + LEASE_MARGIN)
    }

    /// Returns what is known about the worker's lease while it does not answer.
    pub(super) fn known_lease(&self, now: Instant) -> KnownLease {
        let age = |at: Instant| now.since(at);
        let listed = self.running.iter().map(|row| (row.task, row.run));
        KnownLease {
            left: self.granted_until.since(now),
            age: self.began.map_or(Millis::ZERO, age),
            restarted: self
                .restarted
                .then(|| self.first_listed.map_or(Millis::ZERO, age)),
            unconfirmed_start: self.unconfirmed_start.map(age),
            listed: listed
                .filter(|_| self.unconfirmed_start.is_some())
                .collect(),
        }
    }
}
