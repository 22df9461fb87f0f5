//! Measurements for `docs/CAPACITY.md`: the state machines alone, and whole
//! processes.

pub mod output;
pub mod owner;
pub mod processes;
pub mod state_machines;
