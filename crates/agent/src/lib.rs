//! The agent of filbertbend, a process that runs next to each endpoint and its
//! worker.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod serve;
pub mod settings;
