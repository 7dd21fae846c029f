//! The leader's side of the assignment log: writing the log, and replaying it at the start of a
//! term. [`crate::assignment_log`] defines the format of its segments.
//!
//! The log is the write-ahead log of the tasks that may be on a machine. The leader changes its
//! state only according to what is committed:
//!
//! | step | module | state after a crash that follows the step |
//! | --- | --- | --- |
//! | an attempt is proposed | `writer::pending` | unchanged: no start was sent, the task is still pending |
//! | the assignment of the attempt is sent in a transaction | `commit` | the next leader finds the assignment in the log, or its new token has made the transaction fail |
//! | the transaction is committed | `commit` | the attempt counts as on its machine, whether or not the start was sent |
//! | the attempt is proven to be off its machine | `writer::pending` | the attempt still counts as on its machine; the next leader needs a proof of its own |
//! | the release of the attempt is committed | `commit` | the task is done, or pending again |
//! | all tasks of a job are done, and its final state is committed | `commit` | the next leader removes the job's key |
//!
//! Rules of `docs/safety.md` that this module upholds:
//!
//! - *Who may decide*: each transaction has the leader's token and the version of every key that
//!   it writes as preconditions, so that a deposed leader's transaction fails.
//! - *The assignment log, reusing slots*: a segment is overwritten only once it no longer holds
//!   the newest record of any attempt or of any job's progress. Segments are overwritten in the
//!   order in which they were written.
//! - *A task is on one machine at most*, points 1 and 2: a start is sent only after its
//!   assignment is committed, and a new leader trusts the log.
//! - *Gangs, all or none*: the tasks of a gang are started only once the whole gang is committed.

mod commit;
mod replay;
mod writer;

pub use replay::{DecodedLog, LogRow};
pub(in crate::leader) use writer::AssignmentLogWriter;
pub use writer::CommitMarker;
