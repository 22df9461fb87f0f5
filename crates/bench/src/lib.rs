//! Pieces that the benches share.

pub mod capacity;
pub mod declare;
pub mod figure;
pub mod load;
pub mod memory;
pub mod role;
pub mod slope;
pub mod traffic;
