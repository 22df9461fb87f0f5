//! Runs the decisions about jobs in processes: the links between them, the
//! calls of the store and of workers around the state machines of
//! [`filbertbend_workload`].
//!
//! Everything here runs on one thread. The platform is reached through the
//! traits in [`platform`]. See `docs/platform.md`.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod agent;
pub mod config_watch;
mod decision;
pub mod entry;
pub mod journal;
pub mod key;
pub mod key_watch;
pub mod link_identity;
pub mod platform;
pub mod term;
