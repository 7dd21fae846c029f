//! Direct commands: commands that are sent to a worker at once, instead of with the response to
//! its next heartbeat.
//!
//! When something about a machine has changed, other modules of the leader add the machine to the
//! [queue](queue::CommandQueue), for commands or for a probe. The node takes
//! [requests](request::WorkerRequest) while it has sockets for them, and returns their
//! [outcomes](outcome::WorkerOutcome). The commands of a request are chosen only when the request
//! is built. Adding a machine twice, or a machine for which no command is due, is therefore
//! harmless.
//!
//! This module upholds "Direct commands" of `docs/safety.md`: a start may be executed at any later
//! time, and again after it was executed, while its fencing token and incarnation match those of
//! the worker and the worker does not list the attempt. Until a start was executed or can no longer
//! be executed, its attempt is not released when the task is absent from a heartbeat. No forget
//! command is sent for an attempt that was started directly under the current token, unless its
//! task is complete ([`DirectStarts`](crate::leader::machine::DirectStarts)).

mod ended_attempts;
mod outcome;
mod queue;
mod request;
mod unanswered_starts;

pub use outcome::WorkerOutcome;
pub(super) use queue::CommandQueue;
pub use request::WorkerRequest;
