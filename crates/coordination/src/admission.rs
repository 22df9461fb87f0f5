//! Admits requests by class and team, with guaranteed shares and bounded queues.
