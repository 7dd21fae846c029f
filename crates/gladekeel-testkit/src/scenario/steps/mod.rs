//! The steps of `at` lines: one function for each verb, by what the verb acts on.

mod line;
mod machines;
mod messages;
mod nodes;
mod services;
mod users;

use super::LineError;
use crate::simulation::Simulation;
use line::Line;

/// What is executed at the time of an `at` line.
pub(super) type Step = Box<dyn FnOnce(&mut Simulation)>;

/// Reads a step.
pub(super) fn parse_step(text: &str) -> Result<Step, LineError> {
    let line = &Line::parse(text)?;
    match line.token(0, "a step")? {
        "submit" => users::submit(line),
        "again" => users::submit_again(line),
        "poll" => users::poll(line),
        "cancel" => users::cancel(line),
        "cancel_now" => users::cancel_now(line),
        "cancel_at_end" => users::cancel_at_end(line),
        "close_looks" => Ok(users::read_your_writes(line)),
        "odd" => Ok(users::malformed_requests(line)),
        "http" => users::http(line),
        "ask" => users::ask(line),
        "junk" => Ok(users::junk()),
        "late_writes" => messages::late_writes(line),
        "lost_answers" => messages::lost_answers(line),
        "late_commands" => messages::late_commands(line),
        "reports_for_next_leader" => messages::reports_for_next_leader(line),
        "crash" => nodes::crash(line),
        "freeze" => nodes::freeze(line),
        "cut" => nodes::cut(line),
        "links" => nodes::links(line),
        "state" => services::state(line),
        "cloud" => services::cloud(line),
        "take" if line.has(1, "done") => machines::take_done(line),
        "take" | "hang" if line.has(1, "zone") => machines::zone_of_job(line),
        "take" | "drain" | "hang" | "reboot" if line.has(1, "holder") => {
            machines::holder_of_job(line)
        }
        "take" => machines::take(line),
        "reboot" => machines::reboot(line),
        "hang" | "sick" | "slow" | "deaf" | "mute" => machines::degrade(line),
        other => Err(LineError::unexpected("a step", other)),
    }
}

/// A fault that begins at once and is cleared after a while.
fn fault_for(
    duration_s: f64,
    begin: impl FnOnce(&mut Simulation) + 'static,
    clear: impl FnOnce(&mut Simulation) + 'static,
) -> Step {
    Box::new(move |sim| {
        begin(sim);
        sim.fault_lasts(duration_s);
        sim.after(duration_s, clear);
    })
}
