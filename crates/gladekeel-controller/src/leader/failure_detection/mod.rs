//! Detects machines that have failed, and moves their tasks to other machines.
//!
//! The leader runs the [`detector::FailureDetector`] once per cycle interval, and once a second if
//! that is longer. From the machines that were seen and those that respond to probes, the detector
//! decides which machines to probe and which to delete. A lack of messages from a machine never causes its tasks to be released;
//! only the confirmed deletion of the machine does ("Machines" in `docs/safety.md`). The module
//! [`evacuation`] releases the tasks of deleted machines, and stops tasks in time on machines that
//! are about to be reclaimed or deleted.

mod cancellation_deadline;
pub(in crate::leader) mod detector;
pub(in crate::leader) mod evacuation;
mod observation;
pub(in crate::leader) mod reachability;
mod thresholds;

pub(in crate::leader) use cancellation_deadline::CancellationDeletion;
pub use cancellation_deadline::TAKEOVER_REPORT_S;
