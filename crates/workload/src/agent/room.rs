//! Whether the worker has room for a start. The leader has reserved it, but the
//! worker may have shrunk since.

use {
    super::Agent, crate::message::Start, filbertbend_state::room::Room, std::collections::BTreeSet,
};

impl Agent {
    /// Returns whether a start fits together with everything that runs, is
    /// being stopped or may still start, by the newest profile. Nothing fits
    /// beside a run of unknown size.
    pub(super) fn has_room(&self, start: &Start) -> bool {
        let Some(profile) = &self.profile else {
            return false;
        };
        let listed = self.running.iter().map(|row| (row.task, row.run));
        let others: BTreeSet<_> = listed
            .chain(self.issued.keys().copied())
            .filter(|key| *key != (start.task, start.run))
            .collect();
        let used = others.iter().try_fold(start.role.room, |used, key| {
            let role = self.roles.get(key)?;
            Some::<Room>(used + role.room)
        });
        used.is_some_and(|used| profile.room.fits(&used))
    }
}
