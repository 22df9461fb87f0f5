//! Schedules the jobs and orders of one slice.
