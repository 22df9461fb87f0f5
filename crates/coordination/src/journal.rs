//! Makes the records of one slice durable and recovers them.
