//! Peak usage of the tasks of each service, reported to the entries so that they
//! can correct declared sizes.

use {
    filbertbend_coordination::{executor::Task, placement::Peak, worker::Usage},
    filbertbend_state::{
        id,
        room::Room,
        time::Instant,
        unit::{Accelerators, Bytes, Cores, Millis},
    },
    std::collections::BTreeMap,
};

/// How often peaks are reported. Sizes change slowly, and the bandwidth for
/// control messages per node is limited.
const INTERVAL: Millis = Millis::from_secs(10);

/// Peaks that have not been reported yet.
#[derive(Debug, Default)]
pub(crate) struct Peaks {
    by_service: BTreeMap<id::Service, Room>,
    next_report: Instant,
}

impl Peaks {
    /// Adds recent usage of `tasks`. Usage of tasks that have ended is ignored.
    pub(crate) fn add(&mut self, usage: &[Usage], tasks: &[Task]) {
        for used in usage {
            let Some(task) = tasks.iter().find(|task| task.attempt == used.attempt) else {
                continue;
            };
            let peak = self.by_service.entry(task.service.clone()).or_default();
            *peak = componentwise_max(*peak, used.peak);
        }
    }

    /// Returns the peaks that are due to be reported, and forgets them.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<Peak> {
        if now < self.next_report || self.by_service.is_empty() {
            return Vec::new();
        }
        self.next_report = now + INTERVAL;
        std::mem::take(&mut self.by_service)
            .into_iter()
            .map(|(service, peak)| Peak { service, peak })
            .collect()
    }
}

fn componentwise_max(a: Room, b: Room) -> Room {
    Room {
        cores: Cores(a.cores.0.max(b.cores.0)),
        memory: Bytes(a.memory.0.max(b.memory.0)),
        accelerators: Accelerators(a.accelerators.0.max(b.accelerators.0)),
    }
}
