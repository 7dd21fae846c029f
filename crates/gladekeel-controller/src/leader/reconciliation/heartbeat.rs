//! Workers' reports and the commands that answer them.

use crate::leader::{
    AssignmentPhase, AttemptId, AttemptOutcome, Job, Leader, Machine, StopReason,
    machine::ExpectedEffects,
};
use gladekeel_sched::{JobIdx, MachineIdx};
use gladekeel_wire::TaskId;
use gladekeel_wire::worker::{Command, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Commands in one answer; a line must stay below 64 KiB.
const MAX_COMMANDS: usize = 400;

/// Reports in a row that show nothing of what they were answered, after which a
/// machine must show that it hears.
const MAX_UNHEARD_ANSWERS: u32 = 2;

impl Leader {
    /// Applies what a report says of its machine. Returns the machine if the report is
    /// newer than all that were received from it.
    pub(in crate::leader) fn apply_heartbeat(
        &mut self,
        now: f64,
        report: &Heartbeat,
    ) -> Option<MachineIdx> {
        if self.cluster.cloud.is_gone(&report.machine) {
            return None;
        }
        let ix = self.cluster.machine_names.intern(&report.machine);
        let (kind, zone) = (
            self.catalog.intern_machine_type(&report.machine_type),
            self.catalog.zones.intern(&report.zone),
        );
        let machine = self.cluster.machines.entry(ix).or_insert_with(|| {
            tracing::info!(machine = report.machine, "a machine reports that was not rented here");
            Machine::new(&report.machine, now)
        });
        // Reports may come late and out of order; only a newer one says anything.
        if (report.incarnation, report.sequence) <= machine.newest_message {
            return None;
        }
        if machine.last_seen.is_none() {
            self.timers.request_cycle();
        }
        if report.incarnation > machine.newest_message.0 {
            machine.unsettled_starts.clear();
            if machine.last_seen.is_some() {
                // It reported all the while and its lease ran out: it does not hear.
                machine.missed_acks = machine.missed_acks.max(MAX_UNHEARD_ANSWERS);
            }
        }
        machine.newest_message = (report.incarnation, report.sequence);
        machine.highest_token_seen = machine.highest_token_seen.max(report.token);
        machine.last_seen = Some(now);
        self.reachability.record_heartbeat(zone, now);
        machine.silent_since = now;
        machine.unresponsive_since = None;
        machine.suspect_since = None;
        machine.missing_from_lists = 0;
        machine.machine_type = Some(kind);
        machine.spot = report.spot;
        machine.addr = Some(report.addr.clone());
        machine.confirmed |= report.token == self.token;
        if let Some(notice) = report.termination_notice_s {
            if machine.termination_at.is_none() {
                tracing::info!(machine = machine.name, notice, "notice: the cloud takes a machine");
                self.timers.request_cycle();
            }
            machine.termination_at = Some(now + notice);
            self.cluster.leaving.insert(ix);
        }
        for id in machine.attempts.clone() {
            if self.attempts.get(id).is_some_and(|attempt| attempt.incarnation < report.incarnation)
            {
                // A newer incarnation: the worker has killed and forgotten everything before it.
                self.release(id, AttemptOutcome::Requeued);
            }
        }
        self.set_zone(ix, zone);
        Some(ix)
    }

    /// Records that a report came, whatever is answered to it: its machine reaches a
    /// controller. While leases may not be renewed, that is all that is known.
    pub fn record_heartbeat(&mut self, now: f64, report: &Heartbeat) {
        let ix = self.cluster.machine_names.get(report.machine.as_str());
        if let Some(machine) = ix.and_then(|ix| self.cluster.machines.get_mut(&ix)) {
            machine.last_heartbeat = (now, report.incarnation.max(machine.last_heartbeat.1));
            machine.answering_probes_since = None;
        }
    }

    /// Applies a report and answers it. `may_start` is false while nothing new
    /// may be started, since the store was not heard of for too long.
    pub fn on_heartbeat(
        &mut self,
        now: f64,
        report: &Heartbeat,
        may_start: bool,
    ) -> HeartbeatResponse {
        let mut answer = HeartbeatResponse { token: self.token, commands: Vec::new() };
        let Some(ix) = self.apply_heartbeat(now, report) else { return answer };
        self.record_heartbeat(now, report);
        // A report under our token was made after the worker saw it, so commands
        // of older tokens are dead; and since the worker has one report in flight
        // and takes answers in turn, so are our own earlier answers.
        let settled = report.token == self.token;
        let mut reported: BTreeMap<AttemptId, &TaskStatus> =
            report.tasks.iter().map(|task| (self.attempt_id(task), task)).collect();
        self.check_acknowledged(ix, settled, &reported);
        let here = self.cluster.machines.get(&ix).map(|m| m.attempts.clone()).unwrap_or_default();
        for id in here {
            let Some(attempt) = self.attempts.get(id) else { continue };
            if attempt.incarnation != report.incarnation {
                // Of an earlier incarnation, and released; or the report was held back since
                // before the incarnation in which it was placed.
                reported.remove(&id);
                continue;
            }
            let is_own = |task: &&TaskStatus| {
                task.task.index == attempt.task_index
                    && self.job_names.name(attempt.job) == &task.task.job
            };
            let own = reported.get(&id).copied().filter(is_own);
            if own.is_some() {
                reported.remove(&id);
            }
            let seen = TaskObservation { reported: own, settled, may_start };
            self.reconcile_attempt(now, id, seen, &mut answer.commands);
        }
        for (attempt, task) in reported {
            self.reconcile_unassigned_task(ix, attempt, task, settled, &mut answer.commands);
        }
        limit_commands(&mut answer.commands);
        if let Some(machine) = self.cluster.machines.get_mut(&ix) {
            machine.expected_effects = ExpectedEffects::of_response(&answer.commands, settled);
        }
        // Direct commands that were held back may go now, or it is asked whether it hears.
        self.commands.request_commands(ix);
        answer
    }

    /// Whether a report shows anything of what the one before was answered. A
    /// machine may send reports that arrive and hear nothing: it must not hold work
    /// or look alive. One answer may be lost; several in a row, and a direct command
    /// too, are not.
    fn check_acknowledged(
        &mut self,
        ix: MachineIdx,
        settled: bool,
        reported: &BTreeMap<AttemptId, &TaskStatus>,
    ) {
        let Some(machine) = self.cluster.machines.get_mut(&ix) else { return };
        let awaited = std::mem::take(&mut machine.expected_effects);
        let numbers: BTreeSet<u64> = reported.values().map(|task| task.attempt).collect();
        let came = awaited.starts.iter().any(|start| numbers.contains(start))
            || awaited.forgets.iter().any(|forget| !numbers.contains(forget))
            || (awaited.token_seen && settled);
        if came {
            machine.missed_acks = 0;
        } else if awaited != ExpectedEffects::default() {
            machine.missed_acks += 1;
        }
    }

    /// Goes on with an attempt that counts as on a machine, by what the machine's report
    /// shows of it.
    fn reconcile_attempt(
        &mut self,
        now: f64,
        id: AttemptId,
        seen: TaskObservation<'_>,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if attempt.phase != AssignmentPhase::Committed {
            return;
        }
        let task =
            TaskId { job: self.job_names.name(attempt.job).clone(), index: attempt.task_index };
        if let Some(reported) = seen.reported {
            let has_ended = self.apply_task_status(now, id, reported);
            if !has_ended {
                self.repeat_stop(id, task, reported.state, commands);
            }
        } else if self.may_start_now(id, seen.may_start) {
            commands.push(Command::Start { task, attempt: self.reported_attempt(id) });
        } else if seen.settled && self.is_gone_for_good(id) {
            self.release(id, AttemptOutcome::Requeued);
        }
    }

    /// Whether `run` of an attempt that is not on its machine may be sent now.
    fn may_start_now(&self, id: AttemptId, may_start: bool) -> bool {
        let Some(attempt) = self.attempts.get(id) else { return false };
        // A gang whose commit takes several transactions is sent out once all are made.
        let uncommitted = self.jobs.get(&attempt.job).is_some_and(Job::is_gang)
            && self.attempts.of_job(attempt.job).uncommitted() > 0;
        may_start
            && !self.needs_new_token
            && !self.is_over(attempt.job)
            && !uncommitted
            && attempt.stop_reason.is_none()
            && self.machine_stays(attempt.machine)
    }

    /// Whether an attempt that a settled report lacks is to end, and no command can still
    /// start it.
    fn is_gone_for_good(&self, id: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(id) else { return false };
        let machine = self.cluster.machines.get(&attempt.machine);
        let to_end = attempt.stop_reason.is_some()
            || self.is_over(attempt.job)
            || !self.machine_stays(attempt.machine);
        to_end && !machine.is_some_and(|machine| machine.may_still_start(id))
    }

    /// Whether a job is over. Of a gang that is, some tasks may not have reported their end.
    fn is_over(&self, job: JobIdx) -> bool {
        self.jobs.get(&job).is_none_or(Job::is_finished)
    }

    /// Whether a machine is there and is not to go.
    fn machine_stays(&self, machine: MachineIdx) -> bool {
        self.cluster.machines.get(&machine).is_some_and(|machine| !machine.is_leaving())
    }

    /// Repeats `halt` for an attempt that is to stop, unless it is saving and may.
    fn repeat_stop(
        &mut self,
        id: AttemptId,
        task: TaskId,
        state: TaskState,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let (Some(why), job) = (attempt.stop_reason, attempt.job) else { return };
        let waits = match state {
            TaskState::Saving => why != StopReason::Cancelled,
            TaskState::Fetching => why == StopReason::GangIncomplete,
            _ => false,
        };
        if waits {
            return;
        }
        self.attempts.update(id, |attempt| attempt.stops_sent += 1);
        let grace_s = self.jobs[&job].grace_period_s(why);
        commands.push(Command::Stop { task, attempt: self.reported_attempt(id), grace_s });
    }

    /// Applies a task's reported state; returns whether the task has ended.
    pub(in crate::leader) fn apply_task_status(
        &mut self,
        now: f64,
        id: AttemptId,
        reported: &TaskStatus,
    ) -> bool {
        let live = self.attempts.update(id, |attempt| {
            let live = attempt.phase == AssignmentPhase::Committed;
            if live {
                attempt.reported_state = Some(reported.state);
            }
            live.then_some((attempt.job, attempt.stop_reason))
        });
        let Some((job_ix, stop)) = live.flatten() else { return true };
        if reported.state == TaskState::Saving
            && stop.is_none()
            && self.jobs.get(&job_ix).is_some_and(Job::is_gang)
        {
            // An earlier leader began to stop its gang: what it has saved counts only if
            // all hear of it in time.
            self.stop_gang(job_ix, StopReason::Drained);
        }
        let Some(attempt) = self.attempts.get(id) else { return true };
        let has_image =
            matches!(reported.state, TaskState::Waiting | TaskState::Running | TaskState::Saving);
        if has_image {
            let image = attempt.image;
            let machine = self.cluster.machines.get_mut(&attempt.machine);
            if reported.state != TaskState::Waiting && attempt.running_since.is_none() {
                tracing::debug!(task = %reported.task, "runs");
                self.attempts.update(id, |attempt| attempt.running_since = Some(now));
            }
            if let Some(machine) = machine {
                machine.cached_images.insert(image);
            }
        }
        let ended = reported.state == TaskState::Exited;
        if ended {
            self.on_exit(now, id, reported);
        }
        ended
    }

    /// A task that is reported under an attempt that the log does not have, or
    /// whose release is committed.
    fn reconcile_unassigned_task(
        &mut self,
        machine: MachineIdx,
        attempt: AttemptId,
        task: &TaskStatus,
        settled: bool,
        commands: &mut Vec<Command>,
    ) {
        // A task of a gang may have been placed anew under its number, elsewhere.
        if self.attempts.get(attempt).is_some_and(|a| a.machine == machine) || !settled {
            return;
        }
        let (task_id, number) = (task.task.clone(), task.attempt);
        if task.state != TaskState::Exited {
            commands.push(Command::Stop { task: task_id, attempt: number, grace_s: 0.0 });
        } else if self.cluster.machines.get(&machine).is_some_and(|m| !m.may_still_start(attempt)) {
            // Off the log, so its end is committed; settled, so no `run` of it
            // can still arrive and start it anew.
            commands.push(Command::Forget { task: task_id, attempt: number });
        }
    }
}

/// What a report shows of an attempt.
#[derive(Debug, Clone, Copy)]
struct TaskObservation<'a> {
    /// The task, if it is on the machine.
    reported: Option<&'a TaskStatus>,
    /// The report was made under this leader's token, after every earlier answer.
    settled: bool,
    /// New tasks may be started.
    may_start: bool,
}

/// Orders an answer's commands, those that end something first, and cuts them to what an
/// answer holds.
fn limit_commands(commands: &mut Vec<Command>) {
    commands.sort_by_key(|command| match command {
        Command::Stop { grace_s, .. } => u8::from(*grace_s > 0.0),
        Command::Forget { .. } => 2,
        Command::Start { .. } => 3,
    });
    commands.truncate(MAX_COMMANDS);
}
