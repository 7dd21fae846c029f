//! Commands that go to workers directly instead of with the answer to a heartbeat.

pub(in crate::leader) mod queue;
