//! Registers an entry and divides the slices among the live entries.
