//! Failure tests of the directory and the beacon.

mod beacon;
mod directory;
mod network;
mod support;
