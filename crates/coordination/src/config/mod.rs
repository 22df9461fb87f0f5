//! Publishes configurations to the store and follows the newest one.
//!
//! The manifest at [`key::MANIFEST`] refers to one immutable segment for each
//! service. A publish writes new segments first and then replaces the manifest
//! with one compare-and-swap, so a revision becomes visible atomically, together
//! with its audit entry and its drains. See `docs/design.md`, section 11.

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
