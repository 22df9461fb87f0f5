//! The calls and answers of the platform's key-value store.
//!
//! This module only defines the types; the transport layer makes the calls. A
//! call counts against the store's rate limit whether it succeeds or not.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Maximum size of a value in the store, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// The revision of the store at which a key was last written. It increases with
/// each write of any key.
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

/// A lease of the store. Keys attached to it are deleted when it expires.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lease(pub u64);

/// The precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// The key must exist at this version.
    At(Version),
}

/// Correlates an answer with its call within one process.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A call to the store.
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
        /// The precondition of the write.
        expect: Expect,
        /// The lease that the key is attached to, if any.
        lease: Option<Lease>,
    },
    /// Deletes one key if it is at `version`, or at any version if `None`.
    Delete {
        /// The key.
        key: Arc<str>,
        /// The version that the key must have, or `None` for any version.
        version: Option<Version>,
    },
    /// Lists the keys with a prefix and their values, in key order.
    List {
        /// The prefix.
        prefix: Arc<str>,
        /// The key after which the page starts: the last key of the previous
        /// page, or `None` for the first page.
        after: Option<Arc<str>>,
        /// The maximum number of keys to return.
        limit: u32,
    },
    /// Creates a lease that expires `ttl_ms` after its last renewal.
    Grant {
        /// The time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// Extends a lease by its time to live.
    Renew {
        /// The lease.
        lease: Lease,
    },
    /// Ends a lease and deletes the keys attached to it.
    Revoke {
        /// The lease.
        lease: Lease,
    },
    /// Waits until a key with `prefix` changes after `since`, or `wait_ms` have
    /// passed.
    Watch {
        /// The prefix.
        prefix: Arc<str>,
        /// The newest version that the caller has seen.
        since: Version,
        /// The maximum wait, in milliseconds.
        wait_ms: u64,
    },
}

/// A key with its value.
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
    /// The precondition did not hold; the key is at this version, or absent.
    Conflict(Option<Version>),
    /// A page of a `List`. The last page has fewer pairs than the limit.
    Page(Vec<Pair>),
    /// The lease that was granted or renewed.
    Leased(Lease),
    /// The lease no longer exists.
    LeaseGone,
    /// A key changed; this is the newest version under the prefix.
    Changed(Version),
    /// No key changed within the wait.
    Unchanged,
    /// The call had no effect, for example because the connection was refused.
    Unavailable,
    /// The answer was lost, so the call may have taken effect.
    Lost,
}
