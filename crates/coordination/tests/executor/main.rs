//! Tests the agent's executor under failures.

mod agent;
mod leases;
mod leaving;
mod once;
mod requests;
