//! The assignment log as the leader writes it and, when it begins to lead, replays it. The
//! format of its segments is in [`crate::assignment_log`].
//!
//! The log is the write-ahead record of what may be on a machine. The leader changes its
//! picture only by what is committed:
//!
//! | step | module | what a crash after it leaves |
//! | --- | --- | --- |
//! | an attempt is proposed | `writer::pending` | nothing: no start was sent, the task is still pending |
//! | its assignment is sent in a transaction | `commit` | the next leader finds it in the log, or its own token has made the transaction fail |
//! | the transaction is committed | `commit` | the attempt counts as on its machine, whether or not its start was sent |
//! | it is proved to be off its machine | `writer::pending` | the attempt still counts; the next leader needs a proof of its own |
//! | its release is committed | `commit` | the task is done, or pending again |
//! | all tasks of a job are done, its final state is committed | `commit` | the next leader removes the job's key |
//!
//! Rules of `docs/safety.md` that are upheld here:
//!
//! - *Who may decide*: each transaction has the leader's token and the version of every key that
//!   it writes as preconditions, so that a deposed leader's transaction fails.
//! - *The log, using slots again*: a segment is overwritten only once nothing in it is the newest
//!   record of an attempt or of a job's progress, and in the order in which segments were
//!   written.
//! - *A task is on one machine at most*, points 1 and 2: a start is sent only after its
//!   assignment is committed, and a new leader trusts the log.
//! - *Gangs, all or none*: tasks of a gang are sent out once the whole gang is committed.

mod commit;
mod replay;
mod writer;

pub use replay::LogRow;
pub(in crate::leader) use replay::decode_log;
pub(in crate::leader) use writer::AssignmentLogWriter;
pub use writer::CommitMarker;
