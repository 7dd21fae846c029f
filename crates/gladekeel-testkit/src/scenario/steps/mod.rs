//! The steps of `at` lines. The function for each step is in the module of the participants that
//! the step acts on.

mod line;
mod machines;
mod messages;
mod nodes;
mod services;
mod users;

use super::LineError;
use crate::simulation::Simulation;
use line::Line;
use machines::{HOST_OF, ZONE_OF};

/// The action of an `at` line, which is executed at the line's time.
pub(super) type Step = Box<dyn FnOnce(&mut Simulation)>;

/// Parses a step.
pub(super) fn parse_step(text: &str) -> Result<Step, LineError> {
    let line = &Line::parse(text)?;
    match line.token(0, "a step")? {
        "submit" => users::submit(line),
        "resubmit" => users::resubmit(line),
        "poll" => users::poll(line),
        "cancel" => users::cancel(line),
        "cancel_longest_remaining" => users::cancel_longest_remaining(line),
        "cancel_at_completion" => users::cancel_at_completion(line),
        "probe_read_your_writes" => Ok(users::probe_read_your_writes(line)),
        "send_malformed_requests" => Ok(users::send_malformed_requests(line)),
        "http" => users::http(line),
        "http_to" => users::http_to(line),
        "send_invalid_bytes" => Ok(users::send_invalid_bytes()),
        "delay_commits" => messages::delay_commits(line),
        "drop_commit_responses" => messages::drop_commit_responses(line),
        "delay_commands" => messages::delay_commands(line),
        "copy_commands" => messages::copy_commands(line),
        "replay_heartbeats" => messages::replay_heartbeats(line),
        "crash" => nodes::crash(line),
        "pause" => nodes::pause(line),
        "partition" => nodes::partition(line),
        "slow" if line.has(1, "network") => nodes::slow_network(line),
        "slow" if line.has(1, "store") => services::slow_store(line),
        "outage" => services::outage(line),
        "drop_responses" => services::drop_responses(line),
        "deny_store" => services::deny_store(line),
        "corrupt" => services::corrupt(line),
        "compact" => services::compact(line),
        "lower_limits" => services::lower_limits(line),
        "exhaust" => services::exhaust(line),
        "fail_next_boots" => services::fail_next_boots(line),
        "reclaim_at_completion" => machines::reclaim_at_completion(line),
        "reclaim" | "hang" if line.has_prefix(1, ZONE_OF) => machines::zone_of_job(line),
        "reclaim" | "drain" | "hang" | "reboot" if line.has_prefix(1, HOST_OF) => {
            machines::host_of_job(line)
        }
        "reclaim" => machines::reclaim(line),
        "reboot" => machines::reboot(line),
        "hang" | "fail_tasks" | "refuse_starts" | "slow" | "partition_inbound"
        | "partition_outbound" => machines::degrade(line),
        other => Err(LineError::unexpected("a step", other)),
    }
}

/// Returns a step that injects a fault, and clears the fault when the duration has passed.
fn fault_for(
    duration_s: f64,
    inject: impl FnOnce(&mut Simulation) + 'static,
    clear: impl FnOnce(&mut Simulation) + 'static,
) -> Step {
    Box::new(move |sim| {
        inject(sim);
        sim.mark_fault_active(duration_s);
        sim.after(duration_s, clear);
    })
}
