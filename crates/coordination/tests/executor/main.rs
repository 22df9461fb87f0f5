//! Failures that the agent's executor must withstand.

mod agent;
mod leases;
mod leaving;
mod once;
mod requests;
