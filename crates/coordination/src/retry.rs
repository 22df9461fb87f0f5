//! Retries and hedging of requests.
//!
//! [`Plan`] tracks the tries of one request and decides what follows each.
//! [`Budget`] limits retries and hedges to a fraction of the requests, so that a
//! loss of endpoints doesn't cause a retry storm at the remaining ones.
//! [`Hedge`] computes when a try is slow enough to start a second one.

mod budget;
mod hedge;
mod plan;

pub use {
    budget::Budget,
    hedge::Hedge,
    plan::{Completion, Next, Plan},
};
