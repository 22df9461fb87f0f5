//! Tracks the agents and entries that are alive.
