//! Scheduling decisions as deterministic state machines.
//!
//! Each state machine takes events and the current time and returns actions.
//! None does I/O, reads a clock or uses a global source of randomness, so a
//! recorded run replays byte for byte, and benches drive the same code as the
//! processes. See `docs/design.md`, section 6.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod admission;
pub mod attempt;
pub mod config;
pub mod executor;
pub mod interference;
pub mod job;
pub mod journal;
pub mod membership;
pub mod owner;
pub mod ownership;
pub mod placement;
pub mod probation;
pub mod retry;
pub mod routing;
pub mod slices;
pub mod store;
pub mod worker;
