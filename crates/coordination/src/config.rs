//! Publishes a configuration against a revision and follows the newest one.
