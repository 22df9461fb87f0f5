//! Pieces that the benches share.

pub mod figure;
