//! What the entry and the agent need around their work: logs, metrics,
//! signals, keys that are reloaded, and HTTP servers with limits.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod http;
pub mod keys;
mod linger;
pub mod log;
pub mod operators;
pub mod output;
pub mod signal;
