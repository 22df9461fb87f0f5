//! Messages between filbertbend's own processes and their encoding.
//!
//! The protocol is internal to the project: a frame consists of a length, a
//! version byte and a `postcard` body. See `docs/design.md`, section 9.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod message;
pub mod wire;
