//! Chooses the endpoint that takes a request.
//!
//! Views of load are up to a second old and several entries share the
//! endpoints, so the least loaded endpoint by report is one that every entry
//! would flood at once. The router adds its own requests to the newest report
//! and chooses the better one of two endpoints drawn at random.

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

/// Wait proposed to a caller when no endpoint is known or alive: about the
/// time in which an endpoint that restarts announces itself.
const NO_ENDPOINT_RETRY_AFTER_MS: Millis = Millis(1000);
/// Shortest wait proposed to a caller.
const RETRY_AFTER_MIN_MS: Millis = Millis(10);
/// Shortest time for which an endpoint that refused counts as full.
const FULL_PAUSE_MIN_MS: Millis = Millis(5);
/// Part of its service time for which it does: with several slots, some are
/// free again by then. Waiting for its next report leaves slots idle for up to
/// a second.
const FULL_PAUSE_DIVISOR: u64 = 4;
/// How many times better a slot of another entry's part must be to be taken
/// while slots of the own part are free.
const BORROW_RATIO: f64 = 3.0;
/// Endpoints of one data centre that are compared in full; of more, this many
/// are drawn first.
const SAMPLE_SIZE: usize = 32;

/// What a router is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The data centre of this entry.
    pub data_centre: id::DataCentre,
    /// The round trip to another data centre if `round_trips` does not name it.
    pub default_round_trip: Millis,
    /// Round trips to other data centres.
    pub round_trips: BTreeMap<id::DataCentre, Millis>,
    /// The time that leaving the data centre must save beyond its round trip,
    /// which stands for the cost of the link.
    pub remote_penalty: Millis,
    /// The seed of the random choices.
    pub seed: u64,
}

/// What a request asks of the router.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The declaration of its service.
    pub declaration: &'a Declaration,
    /// Endpoints that were tried for it before.
    pub tried: &'a [id::Endpoint],
    /// The time until its deadline.
    pub remaining: Millis,
}

/// An endpoint that was chosen, which now counts one more request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The connection to its agent.
    pub connection: Connection,
    /// The expected time from sending until a slot is free there.
    pub wait: Millis,
}

/// A request for which no endpoint was found; it was certainly not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When a retry is worthwhile.
    pub retry_after: Millis,
}

/// How a request at an endpoint ended, as far as the router cares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feedback {
    /// The endpoint took it, whatever came of it.
    Accepted,
    /// The agent refused it for lack of room; its view is newer than ours.
    Full,
}

/// Slots for the requests of one service or of all, over all endpoints that
/// take work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotUsage {
    /// All slots.
    pub total: Slots,
    /// Slots that other entries' requests hold, by the newest reports.
    pub used_by_others: Slots,
}

/// Chooses endpoints and counts this entry's requests at each.
#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    rng: ChaCha8Rng,
    counters: BTreeMap<id::Endpoint, Counter>,
    queued: u32,
}

impl Router {
    /// Makes a router without requests in progress.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            counters: BTreeMap::new(),
            queued: 0,
        }
    }

    /// Takes note of how many requests wait for a turn. While local endpoints
    /// are full, the wait for one of their slots grows with each of them.
    pub fn set_queued(&mut self, queued: u32) {
        self.queued = queued;
    }

    /// Chooses an endpoint and counts the request there.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with [`Reason::NoEndpoint`] if no endpoint of the
    /// service takes work, [`Reason::NoRoom`] if all that do are full or were
    /// tried, and [`Reason::DeadlineTooShort`] if the request would only reach
    /// a free one after its deadline.
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

    /// Notes that a request that [`Router::pick`] placed has ended.
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

    /// Returns the number of own requests in progress at `endpoint`.
    pub fn in_progress(&self, endpoint: &id::Endpoint) -> u32 {
        self.counters.get(endpoint).map_or(0, |counter| counter.own)
    }

    /// Returns the slots that requests of `service` can use, or of all services.
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

    /// Slots at `agent` that requests of other entries hold.
    fn slots_of_others(&self, agent: &Agent) -> u32 {
        let own = self
            .counters
            .get(&agent.announcement().endpoint)
            .map_or(0, |counter| counter.own_in_report(agent));
        agent.load().slots_used.0.saturating_sub(own)
    }

    /// Returns the counter of `agent`. Own requests are only counted through
    /// here, so when a newer report is found, the count has not changed since
    /// that report arrived.
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

    /// Adds the endpoints of one data centre that may take the request.
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

    /// Takes a local endpoint unless a remote one starts the request sooner by
    /// more than the link costs, or all local ones are full and a remote one
    /// has room before a local slot is expected to be free.
    fn choose_endpoint<'d>(&mut self, local: &Tier<'d>, remote: &Tier<'d>) -> Option<Estimate<'d>> {
        let local_choice = self.choose_free(&local.free);
        let local_wait_ms = match local_choice {
            Some(local_choice) => local_choice.wait_ms,
            // Each request that waits takes one of the slots that come free.
            None if local.takes_work => local.full_wait_ms * (1.0 + f64::from(self.queued)),
            None => f64::INFINITY,
        };
        if local_wait_ms <= remote.min_wait_ms() {
            return local_choice;
        }
        self.choose_free(&remote.free).or(local_choice)
    }

    /// Prefers slots of the own part to those that other entries may be using
    /// by now, unless the endpoints with the latter are far better.
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

    /// Draws two and returns the better one.
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

/// Returns the slots of `agent` that belong to each of several entries: those
/// that an entry may count on although the newest report shows them taken, and
/// that it uses before it borrows. While all keep to their parts, no agent has
/// to refuse. A single entry owns all slots, so there the report decides.
fn fair_share(agent: &Agent, entries: usize) -> u32 {
    if entries < 2 {
        return 0;
    }
    agent.announcement().slots.0 / entries as u32
}
