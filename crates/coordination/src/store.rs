//! The calls that the platform's key-value store answers.
//!
//! This is vocabulary only; the transport layer carries the calls out. A call
//! counts against the store's rate whether it succeeds or not.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Largest value that the store holds, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// The store's revision of one key, rising with each write of any key.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A lease of the store; keys bound to it disappear when it lapses.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lease(pub u64);

/// What a write requires of the key before it takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// The key exists at this version.
    At(Version),
}

/// Ties an answer to its call within one process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// One call of the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Reads one key.
    Get {
        /// The key.
        key: Arc<str>,
    },
    /// Writes one key if `expect` holds.
    Put {
        /// The key.
        key: Arc<str>,
        /// The value, at most [`VALUE_LIMIT_BYTES`].
        value: Vec<u8>,
        /// What the key must be before.
        expect: Expect,
        /// The lease that the key is bound to.
        lease: Option<Lease>,
    },
    /// Deletes one key if it is at `version`, or at any version if `None`.
    Delete {
        /// The key.
        key: Arc<str>,
        /// The version that the key must have.
        version: Option<Version>,
    },
    /// Reads keys with a prefix in order, from the one after `after`.
    List {
        /// The prefix.
        prefix: Arc<str>,
        /// The last key of the page before.
        after: Option<Arc<str>>,
        /// The most keys to return.
        limit: u32,
    },
    /// Creates a lease that lapses `ttl_ms` after its last renewal.
    Grant {
        /// The time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: Lease,
    },
    /// Ends a lease and deletes its keys.
    Revoke {
        /// The lease.
        lease: Lease,
    },
    /// Waits until a key with `prefix` changes after `since`, or `wait_ms` pass.
    Watch {
        /// The prefix.
        prefix: Arc<str>,
        /// The newest version that the caller has seen.
        since: Version,
        /// The longest wait, in milliseconds.
        wait_ms: u64,
    },
}

/// One key with its value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Vec<u8>,
    /// The version of the last write.
    pub version: Version,
}

/// The answer to a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The value of a `Get`, or `None` if the key does not exist.
    Value(Option<Pair>),
    /// The write or delete took effect at this version.
    Written(Version),
    /// `expect` did not hold; the key is at this version, or absent.
    Conflict(Option<Version>),
    /// A page of a `List`; fewer pairs than the limit end the listing.
    Page(Vec<Pair>),
    /// The lease that was granted or renewed.
    Leased(Lease),
    /// The lease does not exist any more.
    LeaseGone,
    /// A key changed; the newest version of the prefix follows.
    Changed(Version),
    /// Nothing changed within the wait.
    Unchanged,
    /// The store certainly did not take the call, for example because the
    /// connection was refused.
    Unavailable,
    /// The call may have taken effect: its answer was lost.
    Lost,
}
