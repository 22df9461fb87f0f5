//! The process of filbertbend that runs beside each endpoint.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod serve;
pub mod settings;
