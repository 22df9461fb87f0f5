//! The entry process of filbertbend and the operators' commands.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod cli;
pub mod declaration;
pub mod serve;
pub mod settings;
