//! Process infrastructure that the entry and the agent share: logs, metrics,
//! signals, reloaded keys, and HTTP servers with limits.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod clients;
pub mod http;
pub mod keys;
mod linger;
pub mod log;
pub mod operators;
pub mod output;
pub mod signal;
