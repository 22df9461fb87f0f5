//! Identifiers, units and records that every layer shares.
//!
//! This layer holds data only. It takes no decision and does no I/O, so that
//! the state machines in the coordination layer and the messages of the
//! protocol layer agree on one set of types. See `docs/design.md`, section 6.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod config;
pub mod hash;
pub mod id;
pub mod outcome;
pub mod room;
pub mod service;
pub mod time;
pub mod unit;
