//! The store's contents and rules in memory, without a network.

use {
    filbertbend_coordination::store::{
        Answer, Call, Expect, Lease, Pair, Version, VALUE_LIMIT_BYTES,
    },
    filbertbend_state::time::Instant,
    std::{collections::BTreeMap, ops::Bound, sync::Arc},
};

/// The number of calls answered so far, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Calls of `Get`, `List` and `Watch`.
    pub reads: u64,
    /// Calls of `Put`, `Delete` and the lease calls.
    pub writes: u64,
}

struct Entry {
    value: Vec<u8>,
    version: Version,
    lease: Option<Lease>,
}

struct Expiry {
    ttl_ms: u64,
    end: Instant,
}

/// A store in memory, driven by the caller's clock.
#[derive(Default)]
pub struct Memory {
    entries: BTreeMap<Arc<str>, Entry>,
    leases: BTreeMap<Lease, Expiry>,
    deleted: BTreeMap<Arc<str>, Version>,
    version: Version,
    next_lease: u64,
    count: Count,
}

impl Memory {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of calls answered so far.
    pub fn count(&self) -> Count {
        self.count
    }

    /// Returns all pairs with a prefix, for tests to inspect.
    pub fn pairs(&self, prefix: impl AsRef<str>) -> Vec<Pair> {
        self.list(prefix.as_ref(), None, u32::MAX)
    }

    /// Deletes every lease that has expired, with its keys.
    pub fn expire(&mut self, now: Instant) {
        let ended: Vec<Lease> = self
            .leases
            .iter()
            .filter(|(_, expiry)| expiry.end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.revoke(lease);
        }
    }

    /// Executes one call. `Watch` is answered at once, without waiting.
    pub fn call(&mut self, now: Instant, call: Call) -> Answer {
        self.expire(now);
        match call {
            Call::Get { .. } | Call::List { .. } | Call::Watch { .. } => self.count.reads += 1,
            _ => self.count.writes += 1,
        }
        match call {
            Call::Get { key } => Answer::Value(self.get(&key)),
            Call::Put {
                key,
                value,
                expect,
                lease,
            } => self.put(key, value, expect, lease),
            Call::Delete { key, version } => self.delete(&key, version),
            Call::List {
                prefix,
                after,
                limit,
            } => Answer::Page(self.list(&prefix, after.as_deref(), limit)),
            Call::Grant { ttl_ms } => self.grant(now, ttl_ms),
            Call::Renew { lease } => self.renew(now, lease),
            Call::Revoke { lease } => {
                self.revoke(lease);
                Answer::Written(self.version)
            }
            Call::Watch { prefix, since, .. } => self.changes(&prefix, since),
        }
    }

    /// Checks a waiting `Watch` for changes without counting another call.
    pub(super) fn poll_watch(&mut self, now: Instant, call: &Call) -> Answer {
        self.expire(now);
        match call {
            Call::Watch { prefix, since, .. } => self.changes(prefix, *since),
            _ => Answer::Unchanged,
        }
    }

    fn get(&self, key: &Arc<str>) -> Option<Pair> {
        self.entries.get(key).map(|entry| Pair {
            key: key.clone(),
            value: entry.value.clone(),
            version: entry.version,
        })
    }

    fn put(
        &mut self,
        key: Arc<str>,
        value: Vec<u8>,
        expect: Expect,
        lease: Option<Lease>,
    ) -> Answer {
        let found = self.entries.get(&key).map(|entry| entry.version);
        let is_met = match expect {
            Expect::Absent => found.is_none(),
            Expect::At(version) => found == Some(version),
        };
        if !is_met || value.len() > VALUE_LIMIT_BYTES {
            return Answer::Conflict(found);
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Answer::LeaseGone;
        }
        self.version.0 += 1;
        let version = self.version;
        self.deleted.remove(&key);
        self.entries.insert(
            key,
            Entry {
                value,
                version,
                lease,
            },
        );
        Answer::Written(version)
    }

    fn delete(&mut self, key: &Arc<str>, version: Option<Version>) -> Answer {
        let found = self.entries.get(key).map(|entry| entry.version);
        if found.is_none() || version.is_some_and(|version| found != Some(version)) {
            return Answer::Conflict(found);
        }
        self.remove(key.clone());
        Answer::Written(self.version)
    }

    fn remove(&mut self, key: Arc<str>) {
        self.version.0 += 1;
        self.entries.remove(&key);
        self.deleted.insert(key, self.version);
    }

    fn list(&self, prefix: &str, after: Option<&str>, limit: u32) -> Vec<Pair> {
        self.entries
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_none_or(|after| &***key > after))
            .take(limit as usize)
            .filter_map(|(key, _)| self.get(key))
            .collect()
    }

    fn grant(&mut self, now: Instant, ttl_ms: u64) -> Answer {
        self.next_lease += 1;
        let lease = Lease(self.next_lease);
        let end = Instant(now.0 + ttl_ms);
        self.leases.insert(lease, Expiry { ttl_ms, end });
        Answer::Leased(lease)
    }

    fn renew(&mut self, now: Instant, lease: Lease) -> Answer {
        match self.leases.get_mut(&lease) {
            Some(expiry) => {
                expiry.end = Instant(now.0 + expiry.ttl_ms);
                Answer::Leased(lease)
            }
            None => Answer::LeaseGone,
        }
    }

    fn revoke(&mut self, lease: Lease) {
        self.leases.remove(&lease);
        let keys: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(key);
        }
    }

    fn changes(&self, prefix: &str, since: Version) -> Answer {
        let entries = self.entries.iter().map(|(key, entry)| (key, entry.version));
        let deletions = self.deleted.iter().map(|(key, version)| (key, *version));
        entries
            .chain(deletions)
            .filter(|(key, version)| key.starts_with(prefix) && *version > since)
            .map(|(_, version)| version)
            .max()
            .map_or(Answer::Unchanged, Answer::Changed)
    }
}
