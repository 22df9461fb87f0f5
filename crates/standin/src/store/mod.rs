//! The platform's key-value store.

mod memory;

pub use memory::{Count, Memory};
