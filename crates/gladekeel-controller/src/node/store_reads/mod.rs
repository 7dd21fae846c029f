//! Reads of the store.

pub(super) mod scheduler;
