//! Pieces that the benches share.

pub mod figure;
pub mod journal;
