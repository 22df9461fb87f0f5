//! The live entries and the assignment of slices to them.

use {
    filbertbend_state::{hash, id, time::Instant, unit::Millis},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Prefix of the keys of live entries.
pub(super) const PREFIX: &str = "member/";

/// The value at `member/<entry>` and at `slice/<n>/owner`.
///
/// The nonce is new with each store lease. It distinguishes a value bound to the
/// current lease from one that an earlier process of the same entry wrote.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Registration {
    pub(super) entry: id::Entry,
    pub(super) nonce: id::Nonce,
    pub(super) value: Vec<u8>,
}

impl Registration {
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// A live entry and the value that its process has published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The name of the entry.
    pub entry: id::Entry,
    /// Data encoded by the process, such as its addresses and data centre. The
    /// registry does not interpret it.
    pub value: Vec<u8>,
}

/// The live entries as of the last listing.
#[derive(Default)]
pub(super) struct Roster {
    members: BTreeMap<id::Entry, Vec<u8>>,
    changed_at: Instant,
}

impl Roster {
    pub(super) fn members(&self) -> Vec<Member> {
        self.members
            .iter()
            .map(|(entry, value)| Member {
                entry: entry.clone(),
                value: value.clone(),
            })
            .collect()
    }

    /// Replaces the members with a complete listing and returns whether anything
    /// changed.
    pub(super) fn replace(&mut self, now: Instant, found: BTreeMap<id::Entry, Vec<u8>>) -> bool {
        let same_entries = self.members.keys().eq(found.keys());
        if !same_entries {
            self.changed_at = now;
        }
        let changed = self.members != found;
        self.members = found;
        changed
    }

    /// Returns whether the set of entries has not changed for `span`.
    pub(super) fn stable_for(&self, now: Instant, span: Millis) -> bool {
        now >= self.stable_at(span)
    }

    /// Returns when the set of entries will have been unchanged for `span`.
    pub(super) fn stable_at(&self, span: Millis) -> Instant {
        self.changed_at + span
    }

    pub(super) fn contains(&self, entry: &id::Entry) -> bool {
        self.members.contains_key(entry)
    }

    /// Returns the entry with the highest rendezvous weight for `slice`. Ties go to
    /// the lower name.
    pub(super) fn preferred(&self, slice: id::Slice) -> Option<&id::Entry> {
        let weight = |entry: &&id::Entry| hash::weight(entry.as_str(), slice);
        self.members.keys().rev().max_by_key(weight)
    }
}
