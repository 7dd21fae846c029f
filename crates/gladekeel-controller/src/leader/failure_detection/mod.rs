//! Failure detection: which machines and zones are unreachable, and what leaves a machine that
//! goes away.

pub(in crate::leader) mod detector;
pub(in crate::leader) mod evacuation;
pub(in crate::leader) mod reachability;
