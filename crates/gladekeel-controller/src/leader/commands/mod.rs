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
//! This module upholds "Direct commands" of `docs/safety.md`: a start that received no response may
//! be executed at any later time while its fencing token and incarnation match those of the worker.
//! Until such a start is [settled](unsettled_starts), that is, was executed or can no longer be
//! executed, its attempt is not released when the task is absent from a heartbeat, and no forget
//! command is sent for the attempt.

mod outcome;
mod queue;
mod request;
mod unsettled_starts;

pub use outcome::WorkerOutcome;
pub(super) use queue::CommandQueue;
pub use request::WorkerRequest;
