//! Runs attempts on one worker within its room and leases.
