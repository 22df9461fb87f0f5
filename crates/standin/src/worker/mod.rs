//! The platform's worker: it runs tasks under leases and reports on them late.
//!
//! [`Model`] is pure and driven by the caller's clock; [`server`] offers it as
//! in `docs/design.md`, section 15. A task's body is one JSON object:
//!
//! | field | meaning |
//! | --- | --- |
//! | `work_ms` | how long the task runs alone and unthrottled |
//! | `echo` | optional text that is returned in the output |
//! | `fail` | optional; `true` makes the task fail at its end |
//!
//! The output's body is an [`Echo`] as JSON. The number of a checkpoint is the
//! work done so far in milliseconds, so any worker can resume from it.

mod model;
mod pairs;
pub mod server;
mod task;
mod trace;

pub use {
    model::{Faults, Model, Page, Settings},
    pairs::Pairs,
    server::{serve, Shared},
    task::{Body, Echo},
    trace::{overlaps, Span, Trace},
};
