//! The current owner of each slice, as far as the agent knows.

use {filbertbend_state::id, std::collections::BTreeMap};

/// The entry with the highest epoch that has sent a message for a slice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Owner {
    pub(super) entry: id::Entry,
    pub(super) epoch: id::Epoch,
}

/// The owners of all slices for which a message has arrived.
#[derive(Debug, Default)]
pub(super) struct Owners {
    by_slice: BTreeMap<id::Slice, Owner>,
}

impl Owners {
    /// Records the sender of a message as the owner. Returns false if the epoch
    /// is older than the current owner's, so that the message must be ignored.
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
