//! Pieces that the benches share.

pub mod declare;
pub mod figure;
pub mod load;
pub mod memory;
pub mod role;
pub mod traffic;
