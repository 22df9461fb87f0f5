//! The agent beside a worker: carries out the leader's orders, renews the
//! worker's lease as far as the leader grants it, and reports outcomes.
//!
//! A session begins with the leader's welcome, which contains a fence. Once the
//! worker has accepted it, orders of earlier sessions, even in transit, have no
//! effect, and the worker's list is authoritative. An unanswered start may take
//! effect later, so a snapshot must show it or a stop rule it out.

mod call;
mod identity;
mod lease;
mod presence;
mod queue;
mod rejection;
mod report;
mod room;
mod session;
mod unanswered;

use {
    crate::{
        id::{Epoch, Fence, Incarnation, Run, Task},
        message::{Crash, Orders, Outcome, Report, Role, StartStatus},
        throttle::Controller,
        worker::{End, Profile, Running},
    },
    filbertbend_state::{
        time::Instant,
        unit::{Cores, Millis},
    },
    identity::Candidate,
    lease::Extension,
    presence::Presence,
    queue::{Queue, Waiting},
    session::Session,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

pub use {
    call::{Answer, Call, Deadline, Refusal, Snapshot},
    rejection::{Cause, Rejection},
    room::{Occupancy, Unknown},
};

/// How long a poll waits for an end; service measurements cover half a second.
const POLL_WAIT: Millis = Millis(500);
/// The delay between polls while the worker lists unacknowledged ends.
const PENDING_DELAY: Millis = Millis(30);
/// A gap of this length between two steps means that the process was stalled.
const STALL_LIMIT: Millis = Millis(2000);
/// The delay before an unanswered or refused call is repeated.
const RETRY_DELAY: Millis = Millis(100);

/// An input of the agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// A heartbeat of the worker has arrived.
    Heartbeat(Profile),
    /// A link to the leader has opened.
    Connected,
    /// The leader has opened the session; the profile is the last one it knows.
    Welcome(Epoch, Fence, Option<Profile>),
    /// Orders of the leader have arrived.
    Orders(Orders),
    /// The link to the leader has closed.
    Disconnected,
    /// A call to the worker has ended.
    Answered {
        /// The call.
        call: Call,
        /// When the call was made.
        sent: Instant,
        /// The result of the call.
        answer: Answer,
    },
    /// A periodic timer has fired.
    Tick,
}

/// An output of the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Requests a session on the open link.
    Hello,
    /// Sends a report to the leader.
    Send(Box<Report>),
    /// Sends a keep-alive message to the leader.
    Ping,
    /// Makes a call to the worker; answered by [`Event::Answered`].
    Call(Call),
    /// Logs that the worker has crashed.
    Crashed(Crash),
    /// Logs that a start was not passed on to the worker.
    Rejected(Rejection),
}

/// The state of an order that the worker's list may not show yet.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Order {
    /// A start is in progress.
    Starting,
    /// A start was carried out at this time; a list that was requested earlier
    /// may lack it.
    Started(Instant),
    /// A start failed without an answer at this time.
    Unanswered(Instant),
    /// A stop is in progress, or will be repeated at this time.
    Stopping { again: Option<Instant> },
    /// A stop was confirmed at this time.
    Stopped(Instant),
}

impl Order {
    fn is_stop(&self) -> bool {
        matches!(self, Self::Stopping { .. } | Self::Stopped(_))
    }
}

/// The state machine of an agent.
#[derive(Debug, Default)]
pub struct Agent {
    profile: Option<Profile>,
    /// The name of the worker before the present incarnation.
    former: Option<Arc<str>>,
    /// Whether the present incarnation has begun under the former name.
    restarted: bool,
    /// Whether the former incarnation was listed. If not, the present one may be
    /// the one that the agent's former process gave orders to.
    former_listed: bool,
    /// The runs that were started by orders to the former incarnation, and are to be
    /// stopped.
    strays: BTreeSet<(Task, Run)>,
    /// When the first inventory of the incarnation was made.
    first_listed: Option<Instant>,
    /// Other incarnations that sent a heartbeat, oldest first.
    candidates: VecDeque<Candidate>,
    /// The last incarnation that the worker has shown not to be.
    refuted: Option<Incarnation>,
    /// Whether the profile came from a heartbeat. One from the leader may be out
    /// of date.
    heard: bool,
    last_step: Option<Instant>,
    profile_reported: bool,
    connected: bool,
    /// The newest term that has opened a session.
    epoch: Epoch,
    session: Option<Session>,
    /// The fence of the last session.
    last_fence: Option<Fence>,
    /// The earliest time of the next session's first poll.
    poll_not_before: Instant,
    /// The worker's clock, with the agent's clock when the answer arrived.
    clock: Option<(Instant, u64)>,
    /// When the last snapshot of the worker arrived.
    polled: Option<Instant>,
    lease_until: Option<Instant>,
    extension: Extension,
    unanswered: unanswered::Ledger,
    /// Whether another incarnation than the one that was meant has accepted a lease.
    is_misled: bool,
    /// Whether the present incarnation may have accepted a deadline by the clock
    /// of a former one.
    foreign_lease: bool,
    /// The end of the last lease that was granted for any incarnation.
    granted_until: Instant,
    /// When the agent began.
    began: Option<Instant>,
    /// When the last start of an ended session was sent or answered, if no
    /// snapshot has shown since which incarnation it has reached.
    unconfirmed_start: Option<Instant>,
    renewals: VecDeque<(u64, Instant)>,
    renewal_number: u64,
    last_renewal: Option<Instant>,
    last_ping: Option<Instant>,
    issued: BTreeMap<(Task, Run), Order>,
    queue: Queue,
    roles: BTreeMap<(Task, Run), Role>,
    checkpoints: BTreeMap<(Task, Run), Arc<str>>,
    running: Vec<Running>,
    /// The ends in the last snapshot.
    ends: Vec<End>,
    presence: Presence,
    /// The last crash of the worker. The leader may not have read it yet, even if
    /// another incarnation has ended since.
    crash: Option<Crash>,
    throttle: Controller,
    report: Report,
}

impl Agent {
    /// Returns the numbers of listed runs and of uncertain orders.
    pub fn size(&self) -> (usize, usize) {
        (self.running.len(), self.issued.len())
    }

    /// Returns the worker's last known profile.
    pub fn profile(&self) -> Option<&Profile> {
        self.profile.as_ref()
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.began.get_or_insert(now);
        let last = self.last_step.replace(now);
        if last.is_some_and(|last| now >= last + STALL_LIMIT) {
            // Heartbeats may have been missed, and orders may be old.
            self.heard = false;
            self.renew_session(actions);
        }
        match event {
            Event::Heartbeat(profile) => self.heartbeat(now, profile, actions),
            Event::Connected => {
                self.connected = true;
                self.renew_session(actions);
            }
            Event::Welcome(epoch, fence, profile) => self.welcome(now, epoch, fence, profile),
            Event::Orders(orders) => self.orders(now, orders),
            Event::Disconnected => {
                self.connected = false;
                self.end_session();
            }
            Event::Answered { call, sent, answer } => {
                self.answered(now, call, sent, answer, actions);
            }
            Event::Tick => {}
        }
        self.renew(now, actions);
        self.extend(now, actions);
        self.poll(now, actions);
        self.identify(now, actions);
        self.repeat_stops(now);
        self.send_orders(now, actions);
        if let Some(session) = self.session.as_ref().filter(|_| !self.report.is_empty()) {
            let mut report = std::mem::take(&mut self.report);
            report.fence = session.fence;
            actions.push(Action::Send(Box::new(report)));
        }
    }

    fn end_session(&mut self) {
        if let Some(session) = self.session.take() {
            self.unconfirmed_start = self.unconfirmed_start.max(session.unconfirmed_start());
        }
        self.report = Report::default();
        self.renewals.clear();
        self.last_renewal = None;
        self.last_ping = None;
        self.issued.clear();
        self.queue.clear();
        self.throttle.end_session();
        self.extension.end_session();
        self.presence.end_session();
    }

    /// Ends the session and requests a new one if the leader is connected.
    fn renew_session(&mut self, actions: &mut Vec<Action>) {
        self.end_session();
        if self.connected {
            actions.push(Action::Hello);
        }
    }

    fn begin_incarnation(&mut self, profile: Profile, actions: &mut Vec<Action>) {
        self.forget_incarnation(actions);
        self.restarted = self.former.as_ref() == Some(&profile.incarnation.worker);
        self.profile = Some(profile);
        self.heard = true;
        self.candidates.clear();
        self.renew_session(actions);
    }

    /// Drops what is known about the worker: its clock, for one, begins anew, so
    /// that a deadline by the former clock would lie far in the future.
    fn forget_incarnation(&mut self, actions: &mut Vec<Action>) {
        if let Some(profile) = self.profile.take() {
            self.former = Some(profile.incarnation.worker.clone());
            self.former_listed = self.first_listed.is_some();
            self.record_crash(profile, actions);
        }
        self.first_listed = None;
        self.clock = None;
        self.polled = None;
        self.lease_until = None;
        self.extension.forget_incarnation();
        self.foreign_lease = false;
        self.strays.clear();
        self.roles.clear();
        self.checkpoints.clear();
        self.running.clear();
        self.ends.clear();
        self.throttle = Controller::default();
    }

    fn welcome(&mut self, now: Instant, epoch: Epoch, fence: Fence, profile: Option<Profile>) {
        // The leader may open a session by itself.
        self.end_session();
        if epoch < self.epoch {
            // The leader of the newer term counts on it that a former one grants
            // nothing any more. The link is closed as that of a silent leader.
            return;
        }
        self.epoch = epoch;
        if self.profile.is_none() {
            self.profile =
                profile.filter(|profile| self.refuted.as_ref() != Some(&profile.incarnation));
            self.heard = false;
        }
        self.last_fence = Some(fence);
        self.session = Some(Session::new(fence, now.max(self.poll_not_before)));
        self.profile_reported = false;
        self.report.lease = Some(self.known_lease(now));
    }

    fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.profile.is_none() {
            return;
        }
        let Some(session) = &mut self.session else {
            return;
        };
        if session.polling || now < session.poll_at {
            return;
        }
        session.polling = true;
        // The first poll passes the fence on and gets a snapshot at once.
        let wait = if session.inventoried {
            POLL_WAIT
        } else {
            Millis::ZERO
        };
        actions.push(Action::Call(Call::Poll {
            fence: session.fence,
            acknowledged: session.acknowledgement(),
            wait,
        }));
    }

    fn orders(&mut self, now: Instant, orders: Orders) {
        let Some(session) = &mut self.session else {
            return;
        };
        if let Some(acknowledged) = orders.acknowledged {
            session.acknowledged = session.acknowledged.max(acknowledged);
        }
        if let Some((request, lease)) = orders.lease {
            self.lease_granted(request, lease);
        }
        if orders.probe.is_some() {
            self.report.probe = orders.probe;
        }
        for weight in &orders.weights {
            self.throttle.merge(now, weight);
        }
        for (task, run, role) in orders.roles {
            self.roles.insert((task, run), role);
        }
        for start in orders.starts {
            self.queue.push(Waiting::Start(start));
        }
        for (task, run) in orders.stops {
            self.stop(task, run);
        }
    }

    fn stop(&mut self, task: Task, run: Run) {
        let Some(session) = &self.session else {
            return;
        };
        if self.queue.withdraw(task, run) {
            return self.outcome(task, run, StartStatus::Withdrawn);
        }
        self.issued
            .insert((task, run), Order::Stopping { again: None });
        self.queue.push(Waiting::Other(Call::Stop {
            fence: session.fence,
            task,
            run,
        }));
    }

    fn repeat_stops(&mut self, now: Instant) {
        let due: Vec<(Task, Run)> = self
            .issued
            .iter()
            .filter(|(_, order)| {
                matches!(order, Order::Stopping { again: Some(again) } if now >= *again)
            })
            .map(|(key, _)| *key)
            .collect();
        for (task, run) in due {
            self.stop(task, run);
        }
    }

    fn outcome(&mut self, task: Task, run: Run, status: StartStatus) {
        self.report.outcomes.push(Outcome { task, run, status });
    }

    fn answered(
        &mut self,
        now: Instant,
        call: Call,
        sent: Instant,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        self.unanswered.answered(&call, &answer);
        if call.is_order() {
            self.queue.answered();
        }
        let fence = match &call {
            Call::Identify { incarnation, .. } => {
                return self.identified(now, incarnation, &answer, actions);
            }
            Call::Poll { fence, .. }
            | Call::Extend { fence, .. }
            | Call::Start { fence, .. }
            | Call::Stop { fence, .. }
            | Call::Throttle { fence, .. } => *fence,
        };
        let current = self
            .session
            .as_ref()
            .is_some_and(|session| session.fence == fence);
        if !current {
            return;
        }
        if let (Call::Start { start, .. }, Answer::Refused(_)) = (&call, &answer) {
            self.presence.ended(start.task, start.run);
        }
        if let Answer::Refused(Refusal::Fence | Refusal::Restarted) = answer {
            // There is a later session or a later incarnation.
            return self.lose_session(now, answer == Answer::Refused(Refusal::Restarted), actions);
        }
        self.presence.observe(now, sent, &call, &answer);
        match call {
            Call::Identify { .. } => {}
            Call::Poll { .. } => self.polled(now, sent, answer, actions),
            Call::Extend { .. } => self.extended(now, sent, answer, actions),
            Call::Start { start, .. } => self.start_answered(now, start.task, start.run, answer),
            Call::Stop { task, run, .. } => self.stop_answered(now, task, run, &answer),
            Call::Throttle { change, .. } => {
                self.throttle.answered(&change, answer == Answer::Done);
            }
        }
    }

    fn lose_session(&mut self, now: Instant, restarted: bool, actions: &mut Vec<Action>) {
        if restarted {
            self.refuted = self.profile.as_ref().map(|own| own.incarnation.clone());
            self.forget_incarnation(actions);
        } else {
            // Avoids a busy loop of sessions while the worker refuses.
            self.poll_not_before = now + RETRY_DELAY;
        }
        self.renew_session(actions);
    }

    fn start_answered(&mut self, now: Instant, task: Task, run: Run, answer: Answer) {
        if let Some(session) = &mut self.session {
            session.start_answered(now);
        }
        if self.issued.get(&(task, run)) != Some(&Order::Starting) {
            // A stop was ordered meanwhile; its outcome decides.
            return;
        }
        let status = match answer {
            Answer::Lost => {
                self.issued.insert((task, run), Order::Unanswered(now));
                return;
            }
            Answer::Done | Answer::Snapshot(_) => StartStatus::Started,
            Answer::Unreachable => StartStatus::Unreachable,
            Answer::Refused(Refusal::NoRoom) => StartStatus::NoRoom,
            Answer::Refused(Refusal::Superseded) => StartStatus::Superseded,
            Answer::Refused(Refusal::Unhealthy) => StartStatus::Unhealthy,
            Answer::Refused(Refusal::Invalid) => StartStatus::Invalid,
            // The other refusals have ended the session.
            Answer::Refused(Refusal::LeaseExpired | Refusal::Fence | Refusal::Restarted) => {
                StartStatus::Unready
            }
        };
        if status == StartStatus::Started {
            self.issued.insert((task, run), Order::Started(now));
            self.throttle.started(task, run);
        } else {
            self.issued.remove(&(task, run));
            self.roles.remove(&(task, run));
        }
        self.outcome(task, run, status);
    }

    fn stop_answered(&mut self, now: Instant, task: Task, run: Run, answer: &Answer) {
        if !matches!(self.issued.get(&(task, run)), Some(Order::Stopping { .. })) {
            return;
        }
        let order = if *answer == Answer::Done {
            Order::Stopped(now)
        } else {
            Order::Stopping {
                again: Some(now + RETRY_DELAY),
            }
        };
        self.issued.insert((task, run), order);
    }

    fn polled(&mut self, now: Instant, sent: Instant, answer: Answer, actions: &mut Vec<Action>) {
        if let Some(session) = &mut self.session {
            session.polling = false;
        }
        let Answer::Snapshot(snapshot) = answer else {
            if let Some(session) = &mut self.session {
                session.poll_at = now + RETRY_DELAY;
            }
            self.repeat_ends();
            return;
        };
        if let Some(session) = self.session.as_mut().filter(|_| !snapshot.ends.is_empty()) {
            // The worker answers at once while unacknowledged ends exist.
            session.poll_at = now + PENDING_DELAY;
        }
        if self.is_other_incarnation(sent, &snapshot) {
            return self.lose_session(now, true, actions);
        }
        self.read_clock(now, &snapshot);
        self.polled = Some(now);
        // The worker has accepted the fence of this session, so starts of earlier
        // ones have no effect any more.
        self.unconfirmed_start = None;
        self.presence.listed(now, sent, &snapshot.running);
        self.report_ends(&snapshot);
        self.report_inventory(now, &snapshot);
        self.resolve(sent, &snapshot);
        self.confirm_starts(sent);
        self.report_checkpoints(&snapshot.running);
        self.apply_throttling(now, &snapshot.running);
        self.running = snapshot.running;
        self.ends = snapshot.ends;
    }

    /// Resolves uncertain orders; only snapshots requested afterwards count. A run
    /// that is not running has not been withdrawn if its end may yet be listed.
    fn resolve(&mut self, sent: Instant, snapshot: &Snapshot) {
        let listed = |key: &(Task, Run)| {
            let mut rows = snapshot.running.iter();
            rows.any(|row| (row.task, row.run) == *key)
        };
        let complete = snapshot.lists_all_ends();
        let issued: Vec<((Task, Run), Order)> = self
            .issued
            .iter()
            .map(|(key, order)| (*key, *order))
            .collect();
        for (key, order) in issued {
            match order {
                Order::Started(at) if sent >= at => {
                    self.issued.remove(&key);
                }
                Order::Unanswered(at) if sent >= at => {
                    if listed(&key) {
                        self.issued.remove(&key);
                        self.outcome(key.0, key.1, StartStatus::Started);
                    } else {
                        self.stop(key.0, key.1);
                    }
                }
                Order::Stopped(at) if complete && sent >= at && !listed(&key) => {
                    self.issued.remove(&key);
                    self.roles.remove(&key);
                    self.presence.ended(key.0, key.1);
                    self.outcome(key.0, key.1, StartStatus::Withdrawn);
                }
                _ => {}
            }
        }
    }

    /// Records that the starts so far have reached the incarnation whose snapshot
    /// was requested at `sent`, if all of their outcomes are known.
    fn confirm_starts(&mut self, sent: Instant) {
        let unanswered = |order: &Order| matches!(order, Order::Unanswered(_));
        let uncertain = self.issued.values().any(unanswered);
        if let Some(session) = self.session.as_mut().filter(|_| !uncertain) {
            session.confirm_starts(sent);
        }
    }

    fn apply_throttling(&mut self, now: Instant, running: &[Running]) {
        let Some(session) = &self.session else {
            return;
        };
        let whole = self
            .profile
            .as_ref()
            .map_or(Cores::ZERO, |profile| profile.room.cores);
        for change in self.throttle.update(now, whole, running, &self.roles) {
            self.queue.push(Waiting::Other(Call::Throttle {
                fence: session.fence,
                change,
            }));
        }
        if let Some(reading) = self.throttle.take_reading() {
            self.report.reading = Some(reading);
        }
    }
}
