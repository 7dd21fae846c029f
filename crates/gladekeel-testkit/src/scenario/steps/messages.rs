//! Messages that are late, lost or repeated.

use super::{Step, line::Line};

/// The last late transaction is carried out this long after it was sent.
const LATEST_WRITE_S: f64 = 12.0;
/// The last late command is carried out this long after it was sent.
const LATEST_COMMAND_S: f64 = 16.0;

/// `late_writes SHARE for S`: transactions that get no answer and are carried out late.
pub(super) fn late_writes(line: &Line) -> Result<Step, String> {
    let (share, for_s) = (line.number_at(1)?, line.for_s);
    Ok(Box::new(move |sim| {
        sim.late_writes = share;
        sim.trouble(for_s + LATEST_WRITE_S);
        sim.after(for_s, |sim| sim.late_writes = 0.0);
    }))
}

/// `lost_answers SHARE for S`: transactions that are made at once; only the answer is lost.
pub(super) fn lost_answers(line: &Line) -> Result<Step, String> {
    let (share, for_s) = (line.number_at(1)?, line.for_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.lost_answers = share;
        sim.trouble(for_s);
        sim.after(for_s, |sim| sim.message_faults.lost_answers = 0.0);
    }))
}

/// `late_commands SHARE for S`: direct commands that get no answer and are carried out late.
pub(super) fn late_commands(line: &Line) -> Result<Step, String> {
    let (share, for_s) = (line.number_at(1)?, line.for_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.late_commands = share;
        sim.trouble(for_s + LATEST_COMMAND_S);
        sim.after(for_s, |sim| sim.message_faults.late_commands = 0.0);
    }))
}

/// `reports_for_next_leader SHARE for S`: reports whose copies reach every node when the
/// next leader begins.
pub(super) fn reports_for_next_leader(line: &Line) -> Result<Step, String> {
    let (share, for_s) = (line.number_at(1)?, line.for_s);
    Ok(Box::new(move |sim| {
        sim.message_faults.reports_for_next_leader = share;
        sim.after(for_s, |sim| sim.message_faults.reports_for_next_leader = 0.0);
    }))
}
