//! Drives the state machines of [`filbertbend_workload`] with I/O: links
//! between processes, calls to the store, and calls to workers.
//!
//! All tasks of a process run on one thread. The platform is reached through
//! the traits in [`platform`]. See `docs/platform.md`.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod agent;
mod attempts;
pub mod backoff;
mod budget;
mod claim;
pub mod config_watch;
mod decision;
pub mod entry;
pub mod evacuation_watch;
pub mod journal;
pub mod key;
mod key_lease;
pub mod key_watch;
mod leader_link;
pub mod link_identity;
mod listener;
mod load;
pub mod platform;
pub mod term;
mod turns;
mod withdrawal;
