//! Small stand-ins for the platform and the endpoints.
//!
//! They implement only what the tests, the benches and the local example use,
//! and are never shipped. `docs/design.md`, section 15, lists their interfaces.

pub mod client;
pub mod declare;
pub mod endpoint;
pub mod fleet;
pub mod keys;
pub mod relay;
pub mod slices;
pub mod store;
pub mod worker;
