//! Learns how much batch tasks slow a service and controls them.
