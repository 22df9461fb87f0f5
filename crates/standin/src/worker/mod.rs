//! A stand-in for the platform's worker: it runs tasks under leases and reports
//! their usage late.
//!
//! [`Model`] does no I/O and is driven by the caller's clock; [`server`] serves
//! it over HTTP as described in `docs/design.md`, section 15. A task's body is
//! one JSON object:
//!
//! | field | meaning |
//! | --- | --- |
//! | `work_ms` | how long the task runs alone and unthrottled |
//! | `echo` | optional text that is returned in the output |
//! | `fail` | optional; `true` makes the task fail at its end |
//!
//! The output's body is an [`Echo`] as JSON. The number of a checkpoint is the
//! work done so far in milliseconds, so any worker can resume from it.

mod interference;
mod model;
pub mod server;
mod task;
mod trace;

pub use {
    interference::Interference,
    model::{Faults, Model, Page, Settings},
    server::{serve, Shared},
    task::{Body, Echo},
    trace::{overlaps, Span, Trace},
};
