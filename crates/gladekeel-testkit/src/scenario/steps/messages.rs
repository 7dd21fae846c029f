//! Messages that are delayed, lost or repeated.

use super::{Step, line::Line};
use crate::scenario::LineError;

/// The last delayed transaction is executed this long after it was sent.
const MAX_COMMIT_DELAY_S: f64 = 12.0;
/// The last delayed command is executed this long after it was sent.
const MAX_COMMAND_DELAY_S: f64 = 16.0;

/// `delay_commits SHARE for S`: transactions that get no answer and are executed later.
pub(super) fn delay_commits(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.delayed_commit_share = share;
        sim.mark_fault_active(duration_s + MAX_COMMIT_DELAY_S);
        sim.after(duration_s, |sim| sim.delayed_commit_share = 0.0);
    }))
}

/// `drop_commit_responses SHARE for S`: transactions that are committed; only the answer is lost.
pub(super) fn drop_commit_responses(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.dropped_commit_response_share = share;
        sim.mark_fault_active(duration_s);
        sim.after(duration_s, |sim| sim.message_faults.dropped_commit_response_share = 0.0);
    }))
}

/// `delay_commands SHARE for S`: direct commands that get no answer and are executed later.
pub(super) fn delay_commands(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.delayed_command_share = share;
        sim.mark_fault_active(duration_s + MAX_COMMAND_DELAY_S);
        sim.after(duration_s, |sim| sim.message_faults.delayed_command_share = 0.0);
    }))
}

/// `replay_heartbeats SHARE for S`: heartbeats of which a copy reaches every node when
/// the next leader begins.
pub(super) fn replay_heartbeats(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.replayed_heartbeat_share = share;
        sim.after(duration_s, |sim| sim.message_faults.replayed_heartbeat_share = 0.0);
    }))
}
