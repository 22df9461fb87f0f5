//! Entry processes that own slices, on a simulated store and network.
//!
//! Tests and benches run the same seeded sessions: processes freeze, crash,
//! restart and leave while calls are delayed and lost. At the end, the reported
//! outcome of every record is compared with the recovered state.

mod ledger;
mod outcomes;
mod process;
mod simulation;

pub use {
    ledger::{Ledger, Line},
    outcomes::{Outcome, Outcomes},
    process::{Component, Output, Process},
    simulation::{Caller, Plan, Simulation, Tally},
};
