//! Steps that delay, copy, drop or replay messages.

use super::{Step, line::Line};
use crate::{
    scenario::{LineError, tokens::number_range},
    simulation::CommandCopies,
};

/// Longest time between sending a delayed transaction and its execution.
const MAX_COMMIT_DELAY_S: f64 = 12.0;
/// Longest time between sending a delayed command and its execution.
const MAX_COMMAND_DELAY_S: f64 = 16.0;

/// `delay_commits SHARE for S`: for S seconds, this share of the transactions get no response and
/// are executed later.
pub(super) fn delay_commits(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.delayed_commit_share = share;
        sim.mark_fault_active(duration_s + MAX_COMMIT_DELAY_S);
        sim.after(duration_s, |sim| sim.delayed_commit_share = 0.0);
    }))
}

/// `drop_commit_responses SHARE for S`: for S seconds, the responses to this share of the committed
/// transactions are lost.
pub(super) fn drop_commit_responses(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.dropped_commit_response_share = share;
        sim.mark_fault_active(duration_s);
        sim.after(duration_s, |sim| sim.message_faults.dropped_commit_response_share = 0.0);
    }))
}

/// `delay_commands SHARE for S`: for S seconds, this share of the direct commands, which are sent
/// outside heartbeat responses, get no response and are executed later.
pub(super) fn delay_commands(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.delayed_command_share = share;
        sim.mark_fault_active(duration_s + MAX_COMMAND_DELAY_S);
        sim.after(duration_s, |sim| sim.message_faults.delayed_command_share = 0.0);
    }))
}

/// `copy_commands SHARE after MIN..MAX for S`: for S seconds, a copy of this share of the direct
/// commands that were executed and answered arrives again, between MIN and MAX seconds later.
pub(super) fn copy_commands(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    if !line.has(2, "after") {
        return Err(LineError::unexpected("after MIN..MAX", line.text));
    }
    let delay_s = number_range(line.token(3, "a range of seconds")?)?;
    Ok(Box::new(move |sim| {
        sim.mark_fault_active(duration_s + delay_s.end);
        sim.message_faults.command_copies = Some(CommandCopies { share, delay_s });
        sim.after(duration_s, |sim| sim.message_faults.command_copies = None);
    }))
}

/// `replay_heartbeats SHARE for S`: for S seconds, copies of this share of the heartbeats are
/// retained. The copies reach every node when the next leader takes over.
pub(super) fn replay_heartbeats(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a share")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.replayed_heartbeat_share = share;
        sim.after(duration_s, |sim| sim.message_faults.replayed_heartbeat_share = 0.0);
    }))
}
