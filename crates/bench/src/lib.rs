//! Load generators, simulations and measurements that the benches share.

pub mod capacity;
pub mod figure;
pub mod journal;
pub mod load;
pub mod regression;
pub mod role;
pub mod steady_load;
pub mod traffic;
pub mod usage;
