//! Chooses the endpoint that takes a request.
