//! The settings of the entry process, which are read once at start.
//!
//! `docs/operators.md` lists every key with its unit and its default.

mod read;

use {
    filbertbend_state::{
        id,
        unit::{Bytes, Connections},
    },
    filbertbend_yaml::{document, Fault, Log, Tls},
    std::{net::SocketAddr, path::Path},
};

/// The addresses at which the entry listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators: metrics, health and status.
    pub operators: SocketAddr,
    /// QUIC for agents and other entries.
    pub processes: SocketAddr,
    /// The address at which other processes reach `processes`.
    pub advertised: SocketAddr,
}

/// How the entry uses the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Store {
    /// The store's addresses, tried in order; never empty.
    pub addresses: Vec<SocketAddr>,
    /// Maximum number of writes per second by this entry, which is its share of
    /// the rate that the store can handle.
    pub writes_per_second: u32,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of the header fields of one request.
    pub header: Bytes,
    /// Maximum size of the body of one quick check, which is streamed.
    pub body: Bytes,
    /// Maximum size of the body of one job or order, which is kept in the store.
    pub job_body: Bytes,
    /// Maximum number of concurrent connections from callers.
    pub connections: Connections,
}

/// The settings of one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The entry's name, unique among all entries.
    pub name: id::Entry,
    /// The data centre that the entry runs in.
    pub data_centre: id::DataCentre,
    /// The region that the entry serves.
    pub region: id::Region,
    /// The number of slices; it must be the same in every entry of a region.
    pub slices: u16,
    /// The addresses at which the entry listens.
    pub addresses: Addresses,
    /// The store and the rate at which the entry may write to it.
    pub store: Store,
    /// Addresses of entries to ask while the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// The TLS files that hold the entry's identity.
    pub tls: Tls,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// The settings of the log.
    pub log: Log,
}

impl Settings {
    /// Reads and checks the file at `path`. Relative paths in it are
    /// resolved against the folder of the file.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file, including TLS files that cannot be read.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Vec<Fault>> {
        document::load(path, "the settings file", read::read)
    }
}

/// Returns the path of every key of the settings, such as `tls.certificate`.
pub fn keys() -> Vec<String> {
    document::keys(read::read)
}
