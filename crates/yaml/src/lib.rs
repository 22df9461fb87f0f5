//! Reads YAML files and reports every fault with its position and a fix.
//!
//! The scheduling files of operators and the settings files of the processes
//! are read the same way: [`document::parse`] turns a [`Source`] into nodes with
//! positions, [`Section`] reads typed values from a mapping, and [`Report`]
//! collects the faults of the whole file. A Serde deserializer would stop at the
//! first one.

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
