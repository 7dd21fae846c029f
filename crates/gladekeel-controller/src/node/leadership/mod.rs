//! Who leads.

pub(super) mod election;
