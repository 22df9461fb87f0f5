//! The configuration that operators publish, and its audit trail.
//!
//! See `docs/design.md`, section 11, for how a publish becomes visible at once.

use {
    crate::{id, service::Declaration, time::Wall},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A reference to the immutable value that holds one service's declaration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The service that the segment declares.
    pub service: id::Service,
    /// The store key of the value.
    pub key: Arc<str>,
}

/// One accepted change of the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change was made against.
    pub from: id::Revision,
    /// The revision that the change created.
    pub to: id::Revision,
    /// Identifies this publish, so that its author recognizes it after the
    /// store's answer was lost.
    pub nonce: id::Nonce,
    /// Who made the change.
    pub author: Arc<str>,
    /// When the change was made, by the author's clock.
    pub at: Wall,
    /// What changed, one line for each service or drain.
    pub summary: Vec<Arc<str>>,
}

/// The value at `config/manifest`; replacing it publishes a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// The revision, rising by one with each publish.
    pub revision: id::Revision,
    /// The segments of the current revision, one for each service.
    pub segments: Vec<Segment>,
    /// Endpoints that operators are draining.
    pub drains: Vec<id::Endpoint>,
    /// The newest changes, oldest first.
    pub audit: Vec<Change>,
    /// Keys of immutable values that hold older changes, oldest first.
    pub audit_segments: Vec<Arc<str>>,
}

/// A complete configuration whose segments are resolved to declarations.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision that the snapshot was taken at.
    pub revision: id::Revision,
    /// Every declared service.
    pub services: Vec<Declaration>,
    /// Endpoints that operators are draining.
    pub drains: Vec<id::Endpoint>,
}

impl Snapshot {
    /// Returns the declaration of `service`, if it is declared.
    pub fn service(&self, service: &id::Service) -> Option<&Declaration> {
        self.services.iter().find(|found| found.name == *service)
    }

    /// Returns whether `team` owns a declared service. Callers name teams, and
    /// an unbounded set of names would fill queues and metrics.
    pub fn has_team(&self, team: &id::Team) -> bool {
        self.services.iter().any(|service| service.team == *team)
    }

    /// Returns whether operators are draining `endpoint`.
    pub fn is_draining(&self, endpoint: &id::Endpoint) -> bool {
        self.drains.contains(endpoint)
    }
}
