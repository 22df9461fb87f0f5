//! Entry processes that own slices, over a simulated store and network.
//!
//! Tests and benches run the same seeded sessions: processes freeze, die,
//! restart and leave while calls are delayed and lost, and every record's fate
//! is compared with what the store holds in the end.

mod fates;
mod ledger;
mod process;
mod world;

pub use {
    fates::{Fate, Fates},
    ledger::{Ledger, Line},
    process::{Output, Part, Process},
    world::{Caller, Plan, Tally, World},
};
