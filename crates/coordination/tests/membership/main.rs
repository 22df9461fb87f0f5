//! Failure tests of the directory and the heartbeater.

mod directory;
mod heartbeater;
mod network;
mod support;
