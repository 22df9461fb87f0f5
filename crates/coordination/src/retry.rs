//! Decides when another try of a request is allowed.
