//! Identifiers, units and records that every layer shares.
//!
//! This layer contains data types only. It makes no decisions and does no I/O,
//! so that the state machines of the coordination layer and the messages of the
//! protocol layer share one set of types. See `docs/design.md`, section 6.

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
