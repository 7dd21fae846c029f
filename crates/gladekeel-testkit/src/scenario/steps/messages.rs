//! Messages that are delayed, lost or repeated.

use super::{Step, line::Line};
use crate::scenario::LineError;

/// The last delayed transaction is executed this long after it was sent.
const MAX_COMMIT_DELAY_S: f64 = 12.0;
/// The last delayed command is executed this long after it was sent.
const MAX_COMMAND_DELAY_S: f64 = 16.0;

/// `late_writes SHARE for S`: transactions that get no answer and are executed later.
pub(super) fn late_writes(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.delayed_commit_share = share;
        sim.fault_lasts(duration_s + MAX_COMMIT_DELAY_S);
        sim.after(duration_s, |sim| sim.delayed_commit_share = 0.0);
    }))
}

/// `lost_answers SHARE for S`: transactions that are committed; only the answer is lost.
pub(super) fn lost_answers(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.lost_response_share = share;
        sim.fault_lasts(duration_s);
        sim.after(duration_s, |sim| sim.message_faults.lost_response_share = 0.0);
    }))
}

/// `late_commands SHARE for S`: direct commands that get no answer and are executed later.
pub(super) fn late_commands(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.delayed_command_share = share;
        sim.fault_lasts(duration_s + MAX_COMMAND_DELAY_S);
        sim.after(duration_s, |sim| sim.message_faults.delayed_command_share = 0.0);
    }))
}

/// `reports_for_next_leader SHARE for S`: heartbeats of which a copy reaches every node when
/// the next leader begins.
pub(super) fn reports_for_next_leader(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.retained_heartbeat_share = share;
        sim.after(duration_s, |sim| sim.message_faults.retained_heartbeat_share = 0.0);
    }))
}
