//! Finds machines that have failed, and gets their tasks to others.
//!
//! The leader runs the [`detector::FailureDetector`] once in each scheduling cycle. It weighs
//! who was seen and who responds to probes, and says which machines to probe and which to
//! delete. The silence of a machine never releases its tasks, its confirmed deletion does ("Machines"
//! in `docs/safety.md`). [`evacuation`] does that, and stops tasks in time on machines that are
//! about to go.

mod cancellation_deadline;
pub(in crate::leader) mod detector;
pub(in crate::leader) mod evacuation;
mod observation;
pub(in crate::leader) mod reachability;
mod thresholds;
