//! Network I/O: QUIC links between filbertbend's processes, the client of the
//! platform's store, and the conversion between HTTP messages and frames.
//!
//! This layer transfers messages and makes no decisions. See `docs/design.md`,
//! sections 6 and 9.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod clock;
pub mod http;
pub mod link;
pub mod outbox;
pub mod store;
pub mod tls;
