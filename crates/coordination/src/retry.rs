//! Decides when another try of a request is allowed.
//!
//! [`Plan`] follows one request and says what comes after each try. [`Budget`]
//! bounds retries and hedges by a part of the requests, so that a loss of
//! endpoints is not followed by a storm of tries at those that are left.
//! [`Hedge`] learns when a try is slow enough to start a second one.

mod budget;
mod hedge;
mod plan;

pub use {
    budget::Budget,
    hedge::Hedge,
    plan::{Completion, Next, Plan},
};
