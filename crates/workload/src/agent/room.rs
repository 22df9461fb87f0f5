//! Whether the worker has room for a start. The leader has reserved it, but the
//! worker may have shrunk since.

use {
    super::{Agent, Order},
    crate::{
        id::{Run, Task},
        message::Start,
        worker::Profile,
    },
    filbertbend_state::room::Room,
    std::{collections::BTreeSet, fmt},
};

/// What takes room on a worker beside a start.
#[derive(Clone, Debug, PartialEq)]
pub struct Occupancy {
    /// The resources of the worker, by its newest profile.
    pub whole: Room,
    /// What the start requires.
    pub required: Room,
    /// What the runs of known size use.
    pub used: Room,
    /// The number of runs.
    pub runs: usize,
    /// A run of unknown size, beside which nothing fits.
    pub unknown: Option<Unknown>,
}

/// A run of unknown size, which the worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Unknown {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// Whether it was ordered to stop.
    pub stopping: bool,
}

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stopping = if self.stopping { ", stopping" } else { "" };
        write!(f, "{} run {}{stopping}", self.task, self.run.0)
    }
}

impl Occupancy {
    /// Returns whether the start fits.
    pub(super) fn has_room(&self) -> bool {
        self.unknown.is_none() && self.whole.fits(&(self.used + self.required))
    }
}

impl Agent {
    /// Returns what takes room beside a start: everything that runs, is being
    /// stopped or may still start.
    ///
    /// What the worker does not list takes room only if its role is known. The
    /// role of a start that was sent is kept until the start is known to have
    /// no effect, and the fence of the session rules starts of earlier ones
    /// out. A stop without a role thus concerns a run that has ended or was
    /// never begun.
    pub(super) fn occupancy(&self, profile: &Profile, start: &Start) -> Occupancy {
        let listed = self.running.iter().map(|row| (row.task, row.run));
        let issued = self.issued.keys().copied();
        let ordered = issued.filter(|key| self.roles.contains_key(key));
        let others: BTreeSet<_> = listed
            .chain(ordered)
            .filter(|key| *key != (start.task, start.run))
            .collect();
        let mut occupancy = Occupancy {
            whole: profile.room,
            required: start.role.room,
            used: Room::NONE,
            runs: others.len(),
            unknown: None,
        };
        for key in others {
            match self.roles.get(&key) {
                Some(role) => occupancy.used += role.room,
                None => {
                    let order = self.issued.get(&key);
                    occupancy.unknown = Some(Unknown {
                        task: key.0,
                        run: key.1,
                        stopping: order.is_some_and(Order::is_stop),
                    });
                }
            }
        }
        occupancy
    }
}
