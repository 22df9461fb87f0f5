//! The platform's key-value store.

mod memory;
mod server;

pub use {
    memory::{Count, Memory},
    server::{Faults, Server},
};
