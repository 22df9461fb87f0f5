//! YAML files whose every fault is reported with its position and a fix.
//!
//! The scheduling files of operators and the settings files of the processes
//! are read the same way: [`document::parse`] turns a [`Source`] into marked
//! nodes, [`Section`] reads typed values from a mapping, and [`Report`] collects
//! the faults of the whole file instead of stopping at the first one, which a
//! Serde deserializer would do.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)
)]

pub mod document;
pub mod fault;
pub mod process;
pub mod scalar;
pub mod section;
pub mod source;

pub use {
    fault::{Code, Fault, Report},
    process::{Level, Log, Tls},
    scalar::Scalar,
    section::{positive, Section, Spanned},
    source::{Source, Span},
};
