//! An entry process without I/O: its state machines, driven by the session's
//! clock.

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

/// The wall-clock time at the start of every session.
const WALL: Wall = Wall(1_800_000_000_000);
const WRITES_PER_S: u32 = 100;

/// Returns the monotonic and wall-clock times of an entry.
pub(crate) fn clock(now: Instant) -> Clock {
    Clock {
        now,
        wall: WALL + Millis(now.0),
    }
}

pub(crate) struct Entry {
    pub(crate) slices: Slices,
    pub(crate) actions: Vec<Action>,
    known: BTreeMap<id::Worker, (Agent, State)>,
}

impl Entry {
    pub(crate) fn new(
        name: id::Entry,
        incarnation: u64,
        local: id::DataCentre,
        slices: u16,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(hash::of(format!("{name}/{incarnation}")));
        let address = format!("{name}:1").into_bytes();
        let registry_rng = ChaCha8Rng::from_rng(&mut rng);
        let planner = Planner::new(Settings {
            local,
            remote_cost: Millis(2000),
            slices_owned: 0,
            slices,
        });
        let parts = Parts {
            registry: Registry::new(name.clone(), address, slices, registry_rng),
            entry: name,
            planner,
            writes_per_s: WRITES_PER_S,
            rng,
        };
        Self {
            slices: Slices::new(parts),
            actions: Vec::new(),
            known: BTreeMap::new(),
        }
    }

    pub(crate) fn step(&mut self, step: impl FnOnce(&mut Slices, &mut Vec<Action>)) {
        step(&mut self.slices, &mut self.actions);
    }

    /// Passes an agent and its state to the slices, if they have changed.
    pub(crate) fn agent(&mut self, now: Instant, agent: &Agent, state: State) {
        let current = (agent.clone(), state);
        if self.known.get(&agent.worker) == Some(&current) {
            return;
        }
        self.known.insert(agent.worker.clone(), current);
        self.slices
            .update_agent(clock(now), agent.clone(), state, &mut self.actions);
    }
}
