//! Load balancing of requests over endpoints.
//!
//! Load reports are up to a second old and several entries share the endpoints,
//! so if each entry chose the endpoint with the lowest reported load, all would
//! overload the same one. The router adds its own requests to the newest report
//! and chooses the better of two randomly sampled endpoints.

use {
    crate::membership::{Agent, Connection, Directory},
    filbertbend_state::{
        id,
        outcome::Reason,
        service::Declaration,
        time::Instant,
        unit::{Millis, Slots},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
};

mod counter;
mod tier;

use {
    counter::Counter,
    tier::{choose_random, round_up_wait, Estimate, NetworkCost, Tier},
};

/// Retry delay returned when no endpoint is known or alive: about the time in
/// which a restarted endpoint announces itself.
const NO_ENDPOINT_RETRY_AFTER_MS: Millis = Millis(1000);
/// Minimum retry delay returned to a caller.
const RETRY_AFTER_MIN_MS: Millis = Millis(10);
/// Minimum time for which an endpoint counts as full after a refusal.
const FULL_PAUSE_MIN_MS: Millis = Millis(5);
/// An endpoint counts as full for its service time divided by this: with
/// several slots, some are free again by then. Waiting for its next report
/// would leave slots idle for up to a second.
const FULL_PAUSE_DIVISOR: u64 = 4;
/// How many times lower the score of a slot in another entry's fair share must
/// be for it to be used while slots of the own share are free.
const BORROW_RATIO: f64 = 3.0;
/// Endpoints of one data centre that are considered for one request. If there
/// are more, this many are sampled, and all only if none of those is free.
const SAMPLE_SIZE: usize = 32;

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The data centre of this entry.
    pub data_centre: id::DataCentre,
    /// The round trip to a data centre that `round_trips` does not list.
    pub default_round_trip: Millis,
    /// Round trips to other data centres.
    pub round_trips: BTreeMap<id::DataCentre, Millis>,
    /// The time that a remote endpoint must save beyond the round trip to be
    /// chosen over a local one; it represents the cost of the link.
    pub remote_penalty: Millis,
    /// Seed of the random sampling.
    pub seed: u64,
}

/// The properties of a request that decide which endpoints are eligible.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The declaration of the requested service.
    pub declaration: &'a Declaration,
    /// Endpoints at which the request was tried before.
    pub tried: &'a [id::Endpoint],
    /// The time until the request's deadline.
    pub remaining: Millis,
}

/// The endpoint chosen for a request, whose count of requests includes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The chosen endpoint.
    pub endpoint: id::Endpoint,
    /// The connection to its agent.
    pub connection: Connection,
    /// The expected time from sending the request until it gets a slot.
    pub wait: Millis,
}

/// The reason why a request got no endpoint; the request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason given to the caller.
    pub reason: Reason,
    /// The time after which a retry may succeed.
    pub retry_after: Millis,
}

/// What the end of a request tells the router about the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feedback {
    /// The endpoint did not refuse the request for lack of room.
    Accepted,
    /// The agent refused the request for lack of room; its view is newer than
    /// the last report.
    Full,
}

/// Slots of one service or of all services, over all endpoints that accept
/// work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotUsage {
    /// Slots of the endpoints.
    pub total: Slots,
    /// Slots in use by requests of other entries, by the newest reports.
    pub used_by_others: Slots,
}

/// Chooses endpoints and counts this entry's requests in progress at each.
#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    rng: ChaCha8Rng,
    counters: BTreeMap<id::Endpoint, Counter>,
    queued: u32,
}

impl Router {
    /// Creates a router without requests in progress.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            counters: BTreeMap::new(),
            queued: 0,
        }
    }

    /// Sets the number of requests queued for admission. While the local
    /// endpoints are full, the expected wait for a local slot grows with it.
    pub fn set_queued(&mut self, queued: u32) {
        self.queued = queued;
    }

    /// Chooses an endpoint and adds the request to its count.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with [`Reason::NoEndpoint`] if no endpoint of the
    /// service accepts work, [`Reason::NoRoom`] if all that do are full or were
    /// tried, and [`Reason::DeadlineTooShort`] if the request would not get a
    /// slot before its deadline.
    pub fn pick(
        &mut self,
        now: Instant,
        directory: &Directory,
        criteria: &Criteria<'_>,
    ) -> Result<Choice, Refusal> {
        let mut local = Tier::default();
        let mut remote = Tier::default();
        for (data_centre, endpoints) in directory.serving(&criteria.declaration.name) {
            if !criteria.declaration.allows(data_centre) {
                continue;
            }
            let is_local = *data_centre == self.settings.data_centre;
            let tier = if is_local { &mut local } else { &mut remote };
            let network_cost = self.network_cost(data_centre);
            self.add_candidates(now, directory, criteria, endpoints, network_cost, tier);
        }
        let chosen = self
            .choose_endpoint(&local, &remote)
            .ok_or_else(|| Refusal {
                reason: local.reason(&remote),
                retry_after: local.retry_after(&remote),
            })?;
        if chosen.wait_ms > criteria.remaining.0 as f64 {
            return Err(Refusal {
                reason: Reason::DeadlineTooShort,
                retry_after: round_up_wait(chosen.wait_ms),
            });
        }
        let agent = chosen.agent;
        let Some(connection) = agent.connection() else {
            return Err(Refusal {
                reason: Reason::NoEndpoint,
                retry_after: NO_ENDPOINT_RETRY_AFTER_MS,
            });
        };
        let endpoint = agent.announcement().endpoint.clone();
        self.counter(agent).own += 1;
        Ok(Choice {
            endpoint,
            connection,
            wait: Millis(chosen.wait_ms as u64),
        })
    }

    /// Records the end of a request that [`Router::pick`] placed.
    pub fn ended(
        &mut self,
        now: Instant,
        directory: &Directory,
        endpoint: &id::Endpoint,
        feedback: Feedback,
    ) {
        let mut pause = FULL_PAUSE_MIN_MS;
        if let Some(agent) = directory.agent(endpoint) {
            let service_time = agent.load().service_time.0;
            pause = pause.max(Millis(service_time / FULL_PAUSE_DIVISOR));
            self.counter(agent);
        }
        if let Some(counter) = self.counters.get_mut(endpoint) {
            counter.own = counter.own.saturating_sub(1);
            if feedback == Feedback::Full {
                counter.full_until = now + pause;
            }
            if counter.own == 0 && directory.agent(endpoint).is_none() {
                self.counters.remove(endpoint);
            }
        }
    }

    /// Returns the number of this entry's requests in progress at `endpoint`.
    pub fn in_progress(&self, endpoint: &id::Endpoint) -> u32 {
        self.counters.get(endpoint).map_or(0, |counter| counter.own)
    }

    /// Returns the slots of the endpoints that serve `service`, or of all.
    pub fn slot_usage(
        &self,
        now: Instant,
        directory: &Directory,
        service: Option<&id::Service>,
    ) -> SlotUsage {
        let mut usage = SlotUsage::default();
        let mut add = |agent: &Agent| {
            if directory.takes_work(agent, now) {
                usage.total += agent.announcement().slots;
                usage.used_by_others += Slots(self.slots_of_others(agent));
            }
        };
        match service {
            Some(service) => directory
                .serving(service)
                .flat_map(|(_, endpoints)| endpoints)
                .filter_map(|endpoint| directory.agent(endpoint))
                .for_each(&mut add),
            None => directory.agents().for_each(&mut add),
        }
        usage
    }

    /// Returns the slots at `agent` in use by requests of other entries.
    fn slots_of_others(&self, agent: &Agent) -> u32 {
        let own = self
            .counters
            .get(&agent.announcement().endpoint)
            .map_or(0, |counter| counter.own_in_report(agent));
        agent.load().slots_used.0.saturating_sub(own)
    }

    /// Returns the counter of `agent`, updated to its newest report. Requests
    /// are counted only through here, so when a newer report is found, the count
    /// has not changed since that report arrived.
    fn counter(&mut self, agent: &Agent) -> &mut Counter {
        let announcement = agent.announcement();
        let counter = self
            .counters
            .entry(announcement.endpoint.clone())
            .or_default();
        if !counter.is_current(agent) {
            counter.own_reported = counter.own;
            counter.report_sequence = agent.report_sequence();
            counter.incarnation = announcement.incarnation;
            counter.full_until = Instant::default();
        }
        counter
    }

    fn network_cost(&self, data_centre: &id::DataCentre) -> NetworkCost {
        if *data_centre == self.settings.data_centre {
            return NetworkCost::default();
        }
        let round_trips = &self.settings.round_trips;
        let round_trip = round_trips.get(data_centre).copied();
        NetworkCost {
            round_trip_ms: round_trip.unwrap_or(self.settings.default_round_trip).0 as f64,
            penalty_ms: self.settings.remote_penalty.0 as f64,
        }
    }

    /// Adds the endpoints of one data centre that are eligible for the request.
    fn add_candidates<'d>(
        &mut self,
        now: Instant,
        directory: &'d Directory,
        criteria: &Criteria<'_>,
        endpoints: &[id::Endpoint],
        network_cost: NetworkCost,
        tier: &mut Tier<'d>,
    ) {
        let free_before = tier.free.len();
        if endpoints.len() > SAMPLE_SIZE {
            for _ in 0..SAMPLE_SIZE {
                let index = self.rng.random_range(0..endpoints.len());
                self.add_candidate(
                    now,
                    directory,
                    criteria,
                    &endpoints[index],
                    network_cost,
                    tier,
                );
            }
            if tier.free.len() > free_before {
                return;
            }
        }
        for endpoint in endpoints {
            self.add_candidate(now, directory, criteria, endpoint, network_cost, tier);
        }
    }

    fn add_candidate<'d>(
        &self,
        now: Instant,
        directory: &'d Directory,
        criteria: &Criteria<'_>,
        endpoint: &id::Endpoint,
        network_cost: NetworkCost,
        tier: &mut Tier<'d>,
    ) {
        let Some(agent) = directory.agent(endpoint) else {
            return;
        };
        if !directory.takes_work(agent, now) {
            return;
        }
        tier.takes_work = true;
        if criteria.tried.contains(endpoint) {
            return;
        }
        let fair_share = fair_share(agent, directory.roster().len());
        let estimate = self.estimate(now, agent, fair_share, network_cost);
        if estimate.full {
            tier.full_wait_ms = tier.full_wait_ms.min(estimate.wait_ms);
        } else {
            tier.free.push(estimate);
        }
    }

    fn estimate<'d>(
        &self,
        now: Instant,
        agent: &'d Agent,
        fair_share: u32,
        network_cost: NetworkCost,
    ) -> Estimate<'d> {
        let announcement = agent.announcement();
        let load = agent.load();
        let counter = self.counters.get(&announcement.endpoint);
        let own = counter.map_or(0, |counter| counter.own);
        let own_reported = counter.map_or(0, |counter| counter.own_in_report(agent));
        let refused =
            counter.is_some_and(|counter| now < counter.full_until && counter.is_current(agent));
        let busy = self.slots_of_others(agent) + own;
        let slots = announcement.slots.0;
        let connections = load.connections_used.0.saturating_sub(own_reported) + own;
        let is_taken = busy >= slots && own >= fair_share;
        let full = refused || is_taken || connections >= announcement.connections.0;
        let service_ms = (load.service_time.0 as f64).max(1.0);
        let queue_ms = (load.queue - now.since(agent.reported_at())).0 as f64;
        let excess = f64::from((busy + 1).saturating_sub(slots).max(u32::from(full)));
        let slots = f64::from(slots.max(1));
        Estimate {
            agent,
            full,
            wait_ms: queue_ms + excess * service_ms / slots + network_cost.round_trip_ms,
            penalty_ms: network_cost.penalty_ms,
            weighted_service_ms: service_ms * f64::from(busy + 1) / slots,
            is_borrowed: own >= fair_share && fair_share > 0,
        }
    }

    /// Chooses a local endpoint unless a remote one starts the request sooner by
    /// more than the remote penalty, or all local ones are full and a remote
    /// one has a slot before a local slot is expected to be free.
    fn choose_endpoint<'d>(&mut self, local: &Tier<'d>, remote: &Tier<'d>) -> Option<Estimate<'d>> {
        let local_choice = self.choose_free(&local.free);
        let local_wait_ms = match local_choice {
            Some(local_choice) => local_choice.wait_ms,
            // Each queued request takes one of the slots that become free.
            None if local.takes_work => local.full_wait_ms * (1.0 + f64::from(self.queued)),
            None => f64::INFINITY,
        };
        if local_wait_ms <= remote.min_wait_ms() {
            return local_choice;
        }
        self.choose_free(&remote.free).or(local_choice)
    }

    /// Prefers slots of the own fair share to slots that other entries may have
    /// filled since the report, unless the latter score [`BORROW_RATIO`] better.
    fn choose_free<'d>(&mut self, free: &[Estimate<'d>]) -> Option<Estimate<'d>> {
        let (borrowed, own): (Vec<_>, Vec<_>) =
            free.iter().partition(|estimate| estimate.is_borrowed);
        let Some(own) = self.choose_better_of_two(&own) else {
            return self.choose_better_of_two(&borrowed);
        };
        let borrowed = self
            .choose_better_of_two(&borrowed)
            .filter(|borrowed| borrowed.score_ms() * BORROW_RATIO < own.score_ms());
        Some(borrowed.unwrap_or(own))
    }

    /// Samples two endpoints and returns the one with the lower score.
    fn choose_better_of_two<'d>(&mut self, free: &[Estimate<'d>]) -> Option<Estimate<'d>> {
        let first = *choose_random(&mut self.rng, free)?;
        let second = *choose_random(&mut self.rng, free)?;
        Some(if second.score_ms() < first.score_ms() {
            second
        } else {
            first
        })
    }
}

/// Returns the number of slots of `agent` reserved for each of several entries.
/// An entry may use its share even if the newest report shows all slots in use,
/// and uses it before it borrows from others. While all entries stay within
/// their shares, no agent has to refuse. A single entry owns all slots, so the
/// result is 0 and the report decides.
fn fair_share(agent: &Agent, entries: usize) -> u32 {
    if entries < 2 {
        return 0;
    }
    agent.announcement().slots.0 / entries as u32
}
