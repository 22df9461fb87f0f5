//! Finds faulty workers and jobs that can never run.
