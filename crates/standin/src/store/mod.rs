//! A stand-in for the platform's key-value store.

mod memory;
pub mod network;
mod server;

pub use {
    memory::{Count, Memory},
    server::{Faults, Server},
};
