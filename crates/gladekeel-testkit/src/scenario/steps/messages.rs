//! Messages that are late, lost or repeated.

use super::{Step, line::Line};

/// The last late transaction is carried out this long after it was sent.
const MAX_COMMIT_DELAY_S: f64 = 12.0;
/// The last late command is carried out this long after it was sent.
const MAX_COMMAND_DELAY_S: f64 = 16.0;

/// `late_writes SHARE for S`: transactions that get no answer and are carried out late.
pub(super) fn late_writes(line: &Line) -> Result<Step, String> {
    let (share, for_s) = (line.number_at(1)?, line.for_s);
    Ok(Box::new(move |sim| {
        sim.delayed_commit_share = share;
        sim.fault_lasts(for_s + MAX_COMMIT_DELAY_S);
        sim.after(for_s, |sim| sim.delayed_commit_share = 0.0);
    }))
}

/// `lost_answers SHARE for S`: transactions that are made at once; only the answer is lost.
pub(super) fn lost_answers(line: &Line) -> Result<Step, String> {
    let (share, for_s) = (line.number_at(1)?, line.for_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.lost_response_share = share;
        sim.fault_lasts(for_s);
        sim.after(for_s, |sim| sim.message_faults.lost_response_share = 0.0);
    }))
}

/// `late_commands SHARE for S`: direct commands that get no answer and are carried out late.
pub(super) fn late_commands(line: &Line) -> Result<Step, String> {
    let (share, for_s) = (line.number_at(1)?, line.for_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.delayed_command_share = share;
        sim.fault_lasts(for_s + MAX_COMMAND_DELAY_S);
        sim.after(for_s, |sim| sim.message_faults.delayed_command_share = 0.0);
    }))
}

/// `reports_for_next_leader SHARE for S`: reports whose copies reach every node when the
/// next leader begins.
pub(super) fn reports_for_next_leader(line: &Line) -> Result<Step, String> {
    let (share, for_s) = (line.number_at(1)?, line.for_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.retained_heartbeat_share = share;
        sim.after(for_s, |sim| sim.message_faults.retained_heartbeat_share = 0.0);
    }))
}
