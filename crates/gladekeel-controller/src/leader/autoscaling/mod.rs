//! Autoscaling: how many machines there should be, the requests that rent and delete them, and
//! what they cost.

pub(in crate::leader) mod cloud_requests;
pub(in crate::leader) mod cost;
pub(in crate::leader) mod scaling;
pub(in crate::leader) mod warm_pool;
pub(in crate::leader) mod zone_demand;
