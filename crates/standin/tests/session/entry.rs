//! One entry process without I/O: the machines that the process runs, with the
//! session's clock.

use {
    filbertbend_coordination::{
        membership::State,
        ownership::Registry,
        placement::{Agent, Planner, Settings},
        slices::{Action, Clock, Parts, Slices},
    },
    filbertbend_state::{
        hash, id,
        time::{Instant, Wall},
        unit::Millis,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
};

/// The wall clock at the start of every session.
const WALL: Wall = Wall(1_800_000_000_000);
const WRITES_PER_S: u32 = 100;

/// Returns the clocks of an entry.
pub(crate) fn clock(now: Instant) -> Clock {
    Clock {
        now,
        wall: WALL + Millis(now.0),
    }
}

pub(crate) struct Entry {
    pub(crate) slices: Slices,
    pub(crate) actions: Vec<Action>,
    seen: BTreeMap<id::Worker, (Agent, State)>,
}

impl Entry {
    pub(crate) fn new(name: id::Entry, life: u64, local: id::DataCentre, slices: u16) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(hash::of(format!("{name}/{life}")));
        let address = format!("{name}:1").into_bytes();
        let own = ChaCha8Rng::from_rng(&mut rng);
        let planner = Planner::new(Settings {
            local,
            remote_cost: Millis(2000),
            slices_owned: 0,
            slices,
        });
        let parts = Parts {
            registry: Registry::new(name.clone(), address, slices, own),
            entry: name,
            planner,
            writes_per_s: WRITES_PER_S,
            rng,
        };
        Self {
            slices: Slices::new(parts),
            actions: Vec::new(),
            seen: BTreeMap::new(),
        }
    }

    pub(crate) fn step(&mut self, step: impl FnOnce(&mut Slices, &mut Vec<Action>)) {
        step(&mut self.slices, &mut self.actions);
    }

    /// Takes note of an agent's state, if it has changed.
    pub(crate) fn agent(&mut self, now: Instant, agent: &Agent, state: State) {
        let seen = (agent.clone(), state);
        if self.seen.get(&agent.worker) == Some(&seen) {
            return;
        }
        self.seen.insert(agent.worker.clone(), seen);
        self.slices
            .update_agent(clock(now), agent.clone(), state, &mut self.actions);
    }
}
