//! Measurements for `docs/CAPACITY.md` of the state machines in isolation and of
//! whole processes.

pub mod output;
pub mod owner;
pub mod processes;
pub mod state_machines;
