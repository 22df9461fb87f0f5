//! Decisions about jobs of many tasks on pools of workers, as pure state
//! machines: events and a clock in, actions out.
//!
//! [`planner::Planner`] runs in the one entry that leads and decides which
//! worker runs which task. [`agent::Agent`] runs beside each worker, carries
//! the planner's orders out and reports what became of them. [`lead::Lead`]
//! decides which entry leads. See `docs/platform.md`.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod agent;
pub mod catalog;
pub mod id;
pub mod interference;
pub mod job;
pub mod leadership;
pub mod message;
pub mod planner;
pub mod record;
pub mod throttle;
pub mod worker;
