//! The platform's key-value store.

mod memory;
mod network;

pub use {
    memory::{Count, Memory},
    network::{Faults, Network},
};
