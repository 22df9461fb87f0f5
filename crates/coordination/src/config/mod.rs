//! Publishes a configuration against a revision and follows the newest one.
//!
//! The manifest at [`key::MANIFEST`] names one immutable segment for each
//! service. A publish writes new segments first and then replaces the manifest
//! by one compare-and-swap, so a revision with its audit entry and its drains
//! becomes visible at once or not at all. See `docs/design.md`, section 11.

pub mod codec;
mod difference;
mod follower;
pub mod key;
mod publisher;

pub use {
    difference::{Difference, Edit, Field},
    follower::Follower,
    publisher::{Intent, Outcome, Plan, Publisher, Request},
};

/// The events and actions of [`Follower`].
pub mod follow {
    pub use super::follower::{Action, Event, WATCH_WAIT_MS};
}

/// The events and actions of [`Publisher`].
pub mod publish {
    pub use super::publisher::{Action, Event};
}
