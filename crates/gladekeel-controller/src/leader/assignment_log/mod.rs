//! The assignment log as the leader writes it and, when it begins to lead, replays it.

pub(in crate::leader) mod replay;
pub(in crate::leader) mod writer;
