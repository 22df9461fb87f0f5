//! The settings of the entry process, resolved once at start.
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
    /// The address under which others reach `processes`.
    pub advertised: SocketAddr,
}

/// How the entry uses the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Store {
    /// The store's addresses, tried in order; never empty.
    pub addresses: Vec<SocketAddr>,
    /// The writes that the entry makes in a second at most; its share of the
    /// store's rate.
    pub writes_per_second: u32,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The header fields of one request.
    pub header: Bytes,
    /// The body of one quick check, which is streamed.
    pub body: Bytes,
    /// The body of one job or order, which is kept in the store.
    pub job_body: Bytes,
    /// Connections from callers at the same time.
    pub connections: Connections,
}

/// The settings of one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The entry's name, unique among all entries.
    pub name: id::Entry,
    /// The data centre that it runs in.
    pub data_centre: id::DataCentre,
    /// The region that it serves.
    pub region: id::Region,
    /// The number of slices; the same in every entry of a region.
    pub slices: u16,
    /// Where it listens.
    pub addresses: Addresses,
    /// The store.
    pub store: Store,
    /// Entries that are asked while the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Its identity.
    pub tls: Tls,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// What it logs.
    pub log: Log,
}

impl Settings {
    /// Reads and checks the file at `path`. Relative paths in it start at the
    /// file's own folder.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file, also if TLS files cannot be read.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Vec<Fault>> {
        document::load(path, "the settings file", read::read)
    }
}

/// Returns the path of every key, such as `tls.certificate`.
pub fn keys() -> Vec<String> {
    document::keys(read::read)
}
