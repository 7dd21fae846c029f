//! Commands that go to a worker at once, instead of with the response to its next heartbeat.
//!
//! Concerns ask the [queue](queue::CommandQueue) for commands to a machine, or for a probe of it,
//! when something about it has changed. The node then takes [requests](request::WorkerRequest)
//! while it has sockets for them, and hands back their [outcomes](outcome::WorkerOutcome). Which
//! commands a request contains is only decided when it is built, so that asking twice, or for a
//! machine that is due nothing, does no harm.
//!
//! Upholds "Direct commands" of `docs/safety.md`: a start that got no response may be executed at
//! any later time while fencing token and incarnation match. Until that is
//! [settled](unsettled_starts), its attempt is neither released for being absent nor forgotten.

mod outcome;
mod queue;
mod request;
mod unsettled_starts;

pub use outcome::WorkerOutcome;
pub(super) use queue::CommandQueue;
pub use request::WorkerRequest;
