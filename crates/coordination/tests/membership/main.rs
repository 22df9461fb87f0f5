//! Failure tests of the directory and the beacon.

mod directory;
mod heartbeater;
mod network;
mod support;
