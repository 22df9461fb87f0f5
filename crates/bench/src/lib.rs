//! Pieces that the benches share.

pub mod capacity;
pub mod figure;
pub mod journal;
pub mod load;
pub mod memory;
pub mod role;
pub mod slope;
pub mod steady;
pub mod traffic;
