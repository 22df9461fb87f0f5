//! Scheduling of jobs with many tasks on pools of workers, as pure state
//! machines: events and a clock in, actions out.
//!
//! [`planner::Planner`] runs in the entry that leads and assigns tasks to
//! workers. [`agent::Agent`] runs beside each worker, carries out the planner's
//! orders and reports their outcomes. [`leadership::Leadership`] tracks how
//! long an entry may act as leader. See `docs/platform.md`.

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
pub mod relay;
pub mod review;
pub mod run_time;
pub mod throttle;
pub mod urgency;
pub mod worker;
