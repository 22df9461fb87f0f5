//! A worker, the session with its agent, and the reservations on it.

use {
    super::{headroom::Headroom, hold::Hold, refusal::Refusal, settings, Settings},
    crate::{
        id::{Fence, Incarnation, Job, Link, Run, Sequence, Task},
        interference::{Model, Service, Weight},
        message::{Inventory, KnownLease, Orders, Role, Start},
        worker::Profile,
    },
    filbertbend_state::{
        room::Room,
        time::Instant,
        unit::{Cores, Millis},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// The resources that a run reserves on its worker.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Reservation {
    pub(super) room: Room,
    /// The cores that a best-effort task would use if they were idle; zero for
    /// others.
    pub(super) best_effort_cores: Cores,
    /// The service that the run is a replica of, if it serves users.
    pub(super) service: Option<Service>,
    pub(super) image: Arc<str>,
    pub(super) priority: u8,
    /// Whether the job of the run is unknown, so that the whole worker is
    /// reserved.
    pub(super) is_unknown: bool,
    /// Until when the run may still crash its worker, if it is a suspect.
    pub(super) suspect_until: Option<Instant>,
}

/// The recent failures on a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    /// Failures since the last success.
    pub(super) failures: u32,
    pub(super) last_failure: Instant,
}

/// The fraction of its reserved cores that a service leaves unused on average:
/// it reserves for its peak, and the platform's services run at half of that.
const UNUSED_FRACTION: f64 = 0.5;
/// How long an agent may take to answer a probe. One that does not is cut off,
/// frozen or gone.
const PROBE_TIMEOUT: Millis = Millis(1000);
/// How long a worker gets no tasks after a start could not be sent to it, unless
/// it comes back before.
const UNREACHABLE_PAUSE: Millis = Millis(1000);
/// Consecutive failures after which a worker is on probation.
const FAILURE_LIMIT: u32 = 3;
/// How long a worker stays on probation after its last failure.
const FAILURE_WINDOW: Millis = Millis(6000);

/// One worker and the session with its agent.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) link: Option<Link>,
    pub(super) fence: Fence,
    pub(super) profile: Option<Profile>,
    /// Whether the profile was reported in this session. It may have changed
    /// while there was none.
    profile_reported: bool,
    /// The incarnation that the inventory of this session belongs to.
    pub(super) incarnation: Option<Incarnation>,
    /// The incarnation of the last inventory of any session.
    last_incarnation: Option<Incarnation>,
    /// Until when a lease may last that the worker has accepted by the clock of
    /// its former incarnation.
    foreign_lease_until: Instant,
    /// Until when the worker gets no tasks, because it is likely to hold such a
    /// lease. A later leader does not know of it, and would count the granted one.
    pub(super) withheld_until: Instant,
    /// Until when such a lease may last, if the worker turns out to have
    /// restarted.
    suspected_until: Instant,
    /// Runs that are over before the lease, and when.
    early: Option<(Instant, BTreeSet<(Task, Run)>)>,
    pub(super) reservations: BTreeMap<(Task, Run), Reservation>,
    /// Until when each suspect may still crash the worker.
    suspects: BTreeMap<(Task, Run), Instant>,
    pub(super) used: Room,
    pub(super) best_effort_cores: Cores,
    /// When all runs on the worker have certainly ended unless the lease is
    /// renewed.
    pub(super) lease_until: Option<Instant>,
    /// When the lease was first seen to have expired.
    pub(super) overdue_since: Option<Instant>,
    pub(super) last_report: Instant,
    /// When the worker leaves, if it is draining.
    pub(super) leaves_at: Option<Instant>,
    pub(super) health: Health,
    /// The room that is kept for a step.
    pub(super) hold: Option<Hold>,
    /// Until when the worker gets no tasks because a start could not be sent.
    unreachable_until: Option<Instant>,
    /// The last refusal of a start, unless the worker has reported another profile
    /// or inventory since.
    pub(super) refusal: Option<Refusal>,
    /// What the services leave to best-effort tasks; `None` after a change.
    headroom: Option<Headroom>,
    pub(super) orders: Orders,
    /// Starts whose placement is not durable yet, each with the version of the
    /// job that contains it.
    pub(super) pending_starts: Vec<(Start, u64)>,
    /// Ends that were processed but are not durable yet, each with the version
    /// of its job.
    pending_ends: VecDeque<(Sequence, Job, u64)>,
    last_end: Sequence,
    acknowledged: Sequence,
    probe: Option<Probe>,
}

/// What is known about an expired lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Expiry {
    /// The agent has just been asked.
    Probed,
    /// All reports that the agent sent before the lease expired have been read,
    /// or it has no session or does not answer.
    Certain,
}

/// A question to an agent whether its reports have all been read.
#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u64,
    sent_at: Instant,
    answered: bool,
}

impl Worker {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            link: None,
            fence: Fence::default(),
            profile: None,
            profile_reported: false,
            incarnation: None,
            last_incarnation: None,
            foreign_lease_until: Instant::default(),
            withheld_until: Instant::default(),
            suspected_until: Instant::default(),
            early: None,
            reservations: BTreeMap::new(),
            suspects: BTreeMap::new(),
            used: Room::NONE,
            best_effort_cores: Cores::ZERO,
            lease_until: None,
            overdue_since: None,
            last_report: now,
            leaves_at: None,
            health: Health::default(),
            hold: None,
            unreachable_until: None,
            refusal: None,
            headroom: None,
            orders: Orders::default(),
            pending_starts: Vec::new(),
            pending_ends: VecDeque::new(),
            last_end: Sequence(0),
            acknowledged: Sequence(0),
            probe: None,
        }
    }

    /// Begins a session with the agent. Returns the link of the last session.
    ///
    /// An agent that opens another session on its link has found signs of a
    /// restart of its worker. One that opens a link has ended its former session,
    /// also with a former leader, so that no lease lasts longer than one that was
    /// granted just now.
    pub(super) fn begin_session(
        &mut self,
        link: Link,
        fence: Fence,
        now: Instant,
        settings: &Settings,
    ) -> Option<Link> {
        if self.link == Some(link) {
            self.suspected_until = now + settings.longest_lease_bound();
            self.lease_until = self.lease_until.max(Some(self.suspected_until));
        } else {
            self.limit_lease(now + settings.lease_bound());
        }
        self.early = None;
        self.fence = fence;
        self.last_report = now;
        self.profile_reported = false;
        self.incarnation = None;
        self.orders = Orders::default();
        self.pending_starts.clear();
        self.pending_ends.clear();
        self.last_end = Sequence(0);
        self.acknowledged = Sequence(0);
        self.probe = None;
        self.link.replace(link)
    }

    /// Replaces the profile. Runs of unknown size go on reserving the whole
    /// worker.
    pub(super) fn set_profile(&mut self, profile: Profile) {
        self.headroom = None;
        for reservation in self.reservations.values_mut() {
            if reservation.is_unknown {
                self.used -= reservation.room;
                reservation.room = profile.room;
                self.used += reservation.room;
            }
        }
        self.refusal = None;
        self.profile = Some(profile);
        self.profile_reported = true;
    }

    /// Records that an inventory has arrived in this session.
    ///
    /// A worker that has restarted under its name may have carried out calls late
    /// that were made to its former incarnation. Their deadlines lie far in the
    /// future of its new clock, so it may hold the longest lease there is.
    pub(super) fn confirm_inventory(
        &mut self,
        inventory: &Inventory,
        now: Instant,
        settings: &Settings,
    ) {
        let incarnation = &inventory.incarnation;
        let changed = self
            .last_incarnation
            .as_ref()
            .is_some_and(|last| last.worker == incarnation.worker && last != incarnation);
        if let Some(age) = inventory.restarted.or(changed.then_some(Millis::ZERO)) {
            let until = now + settings.longest_lease_bound() - age;
            self.foreign_lease_until = self.foreign_lease_until.max(until);
        }
        // An agent that has just started has not listed the former incarnation.
        let unseen = changed && !inventory.running.is_empty();
        if let Some(age) = inventory.foreign_lease.or(unseen.then_some(Millis::ZERO)) {
            let until = now + settings.longest_lease_bound() - age;
            self.withheld_until = self.withheld_until.max(until);
        }
        self.incarnation = Some(incarnation.clone());
        self.suspected_until = Instant::default();
        self.early = None;
        self.unreachable_until = None;
        self.refusal = None;
        self.last_incarnation = Some(incarnation.clone());
        let granted_until = now + settings.lease_bound();
        self.lease_until = Some(granted_until.max(self.foreign_lease_until));
    }

    /// Takes into account what the agent of a worker that has not answered in this
    /// session knows about its lease.
    pub(super) fn set_known_lease(
        &mut self,
        known: &KnownLease,
        now: Instant,
        settings: &Settings,
    ) {
        if self.incarnation.is_some() {
            return;
        }
        let own = now + settings::bound(known.left);
        let earlier_process = now + settings.lease_bound() - known.age;
        let longest = |age: Millis| now + settings.longest_lease_bound() - age;
        let restarted = known.restarted.map_or(Instant::default(), longest);
        let unconfirmed = known.unconfirmed_start.map_or(Instant::default(), longest);
        let until = own.max(earlier_process);
        self.suspected_until = restarted.max(unconfirmed);
        self.limit_lease(until);
        let early = until.max(restarted).max(self.foreign_lease_until);
        self.early =
            (!known.listed.is_empty()).then(|| (early, known.listed.iter().copied().collect()));
    }

    /// Returns whether the lease has expired, or some runs are over before.
    pub(super) fn has_expired(&self, now: Instant) -> bool {
        let is_over = |until: Instant| now >= until;
        let early = self.early.as_ref().is_some_and(|(until, runs)| {
            is_over(*until) && runs.iter().any(|run| self.reservations.contains_key(run))
        });
        early || self.lease_until.is_some_and(is_over)
    }

    /// Frees the resources of the runs that are over before the lease, and returns
    /// these runs.
    pub(super) fn clear_early(&mut self) -> Vec<(Task, Run)> {
        self.probe = None;
        let (_, mut runs) = self.early.take().unwrap_or_default();
        runs.retain(|(task, run)| self.release(*task, *run));
        runs.into_iter().collect()
    }

    /// Returns until when the runs on a worker without an inventory in this session
    /// are waited for, if there are any.
    pub(super) fn awaited_until(&self) -> Option<Instant> {
        let awaited = self.incarnation.is_none() && !self.reservations.is_empty();
        self.lease_until.filter(|_| awaited)
    }

    /// Records that a lease of a former leader expires at `until`. One of this term
    /// may last longer.
    pub(super) fn end_former_lease(&mut self, until: Instant) {
        if self.fence == Fence::default() {
            self.limit_lease(until);
        }
    }

    /// Records that the lease expires at `until` unless it is renewed, or the
    /// worker has accepted one by the clock of its former incarnation.
    fn limit_lease(&mut self, until: Instant) {
        let foreign = self.foreign_lease_until.max(self.suspected_until);
        self.lease_until = self.lease_until.map(|known| known.min(until).max(foreign));
    }

    /// Frees all resources and returns the runs that held them.
    pub(super) fn clear(&mut self) -> Vec<(Task, Run)> {
        self.probe = None;
        self.headroom = None;
        self.suspects.clear();
        self.used = Room::NONE;
        self.best_effort_cores = Cores::ZERO;
        self.pending_starts.clear();
        self.orders.starts.clear();
        self.orders.stops.clear();
        std::mem::take(&mut self.reservations).into_keys().collect()
    }

    /// Returns whether the worker may get tasks.
    pub(super) fn is_usable(&self, now: Instant, silence_limit: Millis) -> bool {
        self.link.is_some()
            && now < self.last_report + silence_limit
            && self.profile_reported
            && self.incarnation.is_some()
            && now >= self.withheld_until
            && self.unreachable_until.is_none_or(|until| now >= until)
            && self.lease_until.is_some_and(|until| now < until)
            && self.profile.as_ref().is_some_and(|profile| {
                !profile.draining && Some(&profile.incarnation) == self.incarnation.as_ref()
            })
    }

    /// Records that a start could not be sent to the worker.
    pub(super) fn unreachable(&mut self, now: Instant) {
        self.unreachable_until = Some(now + UNREACHABLE_PAUSE);
    }

    /// Returns whether the worker gets only one task at a time because of
    /// recent failures.
    pub(super) fn is_on_probation(&self, now: Instant) -> bool {
        self.health.failures >= FAILURE_LIMIT && now < self.health.last_failure + FAILURE_WINDOW
    }

    /// Returns whether a suspect has not shown yet that it does not crash the
    /// worker.
    pub(super) fn has_suspect(&self, now: Instant) -> bool {
        self.suspects.values().any(|until| now < *until)
    }

    /// Returns the services that have replicas on the worker.
    pub(super) fn services(&self) -> impl Iterator<Item = &Service> {
        self.reservations
            .values()
            .filter_map(|reservation| reservation.service.as_ref())
    }

    /// Computes the headroom if it was invalidated.
    pub(super) fn update_headroom(&mut self, model: &Model) {
        if self.headroom.is_none() {
            let mut headroom = Headroom::default();
            for reservation in self.reservations.values() {
                if let Some(service) = &reservation.service {
                    headroom.add_service(model, service);
                }
                if reservation.best_effort_cores > Cores::ZERO {
                    headroom.add_best_effort(
                        &reservation.image,
                        self.fraction(reservation.best_effort_cores),
                    );
                }
            }
            headroom.update_demands(model);
            self.headroom = Some(headroom);
        }
    }

    /// Makes the next [`Worker::update_headroom`] compute the headroom again.
    pub(super) fn invalidate_headroom(&mut self) {
        self.headroom = None;
    }

    fn fraction(&self, cores: Cores) -> f64 {
        let whole = self.profile.as_ref().map(|profile| profile.room.cores.0);
        cores.0 as f64 / whole.unwrap_or(0).max(1) as f64
    }

    /// Returns the fraction of a best-effort task that the services on the
    /// worker tolerate: above 1 if they tolerate more, infinite without
    /// services, and 0 if the headroom has not been computed.
    pub(super) fn tolerance(&self, model: &Model, image: &Arc<str>, cores: Cores) -> f64 {
        self.headroom.as_ref().map_or(0.0, |headroom| {
            headroom.tolerance(model, image, self.fraction(cores))
        })
    }

    /// Returns the cores that a further best-effort task can expect: unreserved
    /// cores and those that services reserve but leave unused, less the cores
    /// that the present best-effort tasks would use.
    pub(super) fn idle_cores(&self) -> f64 {
        let serving: u64 = self
            .reservations
            .values()
            .filter(|reservation| reservation.service.is_some())
            .map(|reservation| reservation.room.cores.0)
            .sum();
        let unused = serving as f64 * UNUSED_FRACTION;
        self.free().cores.0 as f64 + unused - self.best_effort_cores.0 as f64
    }

    /// Returns the unreserved resources.
    pub(super) fn free(&self) -> Room {
        self.profile
            .as_ref()
            .map_or(Room::NONE, |profile| profile.room - self.used)
    }

    /// Returns whether a task fits beside all runs. A worker that has shrunk
    /// below what runs gets nothing, whatever the task needs.
    pub(super) fn fits(&self, need: Room) -> bool {
        self.fits_beside(self.used, need)
    }

    /// Returns whether a task fits beside runs that use `used` together.
    pub(super) fn fits_beside(&self, used: Room, need: Room) -> bool {
        self.profile
            .as_ref()
            .is_some_and(|profile| profile.room.fits(&(used + need)))
    }

    pub(super) fn reserve(&mut self, task: Task, run: Run, reservation: Reservation) {
        self.headroom = None;
        self.used += reservation.room;
        self.best_effort_cores += reservation.best_effort_cores;
        if let Some(until) = reservation.suspect_until {
            self.suspects.insert((task, run), until);
        }
        self.reservations.insert((task, run), reservation);
    }

    pub(super) fn release(&mut self, task: Task, run: Run) -> bool {
        let Some(reservation) = self.reservations.remove(&(task, run)) else {
            return false;
        };
        self.headroom = None;
        self.suspects.remove(&(task, run));
        self.used -= reservation.room;
        self.best_effort_cores -= reservation.best_effort_cores;
        true
    }

    /// Lists the starts that have not been sent.
    pub(super) fn unsent(&self) -> BTreeSet<(Task, Run)> {
        let starts = self.pending_starts.iter().map(|(start, _)| start);
        starts.map(|start| (start.task, start.run)).collect()
    }

    /// Lists the latest starts that have not been sent, as far as the room does
    /// not hold them together with all other runs.
    pub(super) fn excess_starts(&self) -> Vec<(Task, Run)> {
        let mut used = self.used;
        let mut found = Vec::new();
        for (start, _) in self.pending_starts.iter().rev() {
            if self.fits_beside(used, Room::NONE) {
                break;
            }
            let key = (start.task, start.run);
            if let Some(reservation) = self.reservations.get(&key) {
                used -= reservation.room;
            }
            found.push(key);
        }
        found
    }

    /// Records the number of an end; returns whether it is new in this session.
    pub(super) fn record_end(&mut self, sequence: Sequence) -> bool {
        let new = sequence > self.last_end;
        self.last_end = self.last_end.max(sequence);
        new
    }

    /// Defers the acknowledgement of an end until the job's version is durable.
    pub(super) fn defer_acknowledgement(&mut self, sequence: Sequence, job: Job, version: u64) {
        self.pending_ends.push_back((sequence, job, version));
    }

    /// Returns whether starts or ends wait for changes to be durable.
    pub(super) fn is_pending(&self) -> bool {
        !self.pending_starts.is_empty() || !self.pending_ends.is_empty()
    }

    /// Queues the starts whose placement is durable and acknowledges the ends
    /// whose consequences are durable.
    pub(super) fn release_durable(&mut self, is_durable: impl Fn(Job, u64) -> bool) {
        let ready = self
            .pending_starts
            .extract_if(.., |(start, version)| is_durable(start.task.job, *version));
        self.orders.starts.extend(ready.map(|(start, _)| start));
        let mut acknowledged = None;
        while let Some((sequence, job, version)) = self.pending_ends.front() {
            if !is_durable(*job, *version) {
                break;
            }
            acknowledged = Some(*sequence);
            self.pending_ends.pop_front();
        }
        if let Some(acknowledged) =
            acknowledged.filter(|acknowledged| *acknowledged > self.acknowledged)
        {
            self.acknowledged = acknowledged;
            self.orders.acknowledged = Some(acknowledged);
        }
    }

    /// Queues learned interference weights for the agent.
    pub(super) fn send_weights(&mut self, weights: Vec<Weight>) {
        self.orders.weights.extend(weights);
    }

    /// Queues the role of a run that the agent may not have started itself.
    pub(super) fn send_role(&mut self, task: Task, run: Run, role: Role) {
        self.orders.roles.push((task, run, role));
    }

    /// Judges a lease that has expired by the leader's count. An agent with a
    /// session is asked first whether its reports have all been read: one of
    /// them may show the end of a run, or a request for another lease. Returns
    /// `None` while its answer is awaited.
    pub(super) fn judge_expiry(&mut self, now: Instant) -> Option<Expiry> {
        if self.link.is_none() {
            return Some(Expiry::Certain);
        }
        let Some(probe) = self.probe else {
            let number = now.0;
            self.orders.probe = Some(number);
            self.probe = Some(Probe {
                number,
                sent_at: now,
                answered: false,
            });
            return Some(Expiry::Probed);
        };
        let decided = probe.answered || now >= probe.sent_at + PROBE_TIMEOUT;
        decided.then_some(Expiry::Certain)
    }

    /// Records the answer to a probe.
    pub(super) fn probe_answered(&mut self, number: u64) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
            probe.answered = true;
        }
    }

    pub(super) fn lease(&mut self, request: u64, lease: Millis, until: Instant) {
        self.probe = None;
        self.early = None;
        self.orders.lease = Some((request, lease));
        self.lease_until = self.lease_until.max(Some(until));
    }
}

/// Returns whether a worker has a label, which is its kind or its rack.
pub(super) fn has_label(profile: &Profile, label: &Arc<str>) -> bool {
    profile.labels.contains(label)
}
