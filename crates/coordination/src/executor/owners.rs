//! Which entry speaks for each slice.

use {filbertbend_state::id, std::collections::BTreeMap};

/// The entry that last spoke for a slice with the highest epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Owner {
    pub(super) entry: id::Entry,
    pub(super) epoch: id::Epoch,
}

/// The owners of all slices that have spoken.
#[derive(Debug, Default)]
pub(super) struct Owners {
    by_slice: BTreeMap<id::Slice, Owner>,
}

impl Owners {
    /// Notes who speaks and tells whether it may: an older epoch may not.
    pub(super) fn accept(&mut self, slice: id::Slice, epoch: id::Epoch, from: id::Entry) -> bool {
        let current = self.by_slice.get(&slice).map(|owner| owner.epoch);
        if current.is_some_and(|current| epoch < current) {
            return false;
        }
        self.by_slice.insert(slice, Owner { entry: from, epoch });
        true
    }

    pub(super) fn get(&self, slice: id::Slice) -> Option<&Owner> {
        self.by_slice.get(&slice)
    }
}
