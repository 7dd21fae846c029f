//! The input of a scheduling cycle: a snapshot of the leader's machines, teams and jobs.

use crate::leader::{Job, Leader, Machine};
use gladekeel_sched::cycle::SchedulingCycle;
use gladekeel_sched::snapshot::{SchedulableJob, SchedulableMachine};
use gladekeel_sched::{JobIdx, MachineIdx, ZoneIdx};
use gladekeel_wire::job::JobKind;
use std::collections::{BTreeSet, HashMap};

/// A job that has waited for longer than this without a task on any machine is overdue and is
/// scheduled first.
pub(super) const OVERDUE_AFTER_S: f64 = 60.0;
/// Once an array or service has waited for longer than this without a task on any machine, all jobs
/// may use the warm pool.
const STARVED_AFTER_S: f64 = 75.0;

/// The input of a scheduling cycle, which refers to jobs and machines by position, together with
/// the leader's index of the job or machine at each position.
pub(in crate::leader) struct CycleInput {
    /// The cycle, which refers to jobs and machines by position.
    pub cycle: SchedulingCycle,
    /// The leader's index of the job at each position.
    pub jobs: Vec<JobIdx>,
    /// The leader's index of the machine at each position.
    pub machines: Vec<MachineIdx>,
}

impl CycleInput {
    /// Returns the position of each machine in the input.
    pub fn machine_positions(&self) -> HashMap<MachineIdx, usize> {
        self.machines
            .iter()
            .enumerate()
            .map(|(position, machine_idx)| (*machine_idx, position))
            .collect()
    }
}

/// Which machines the input of a cycle contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::leader) enum MachineScope {
    /// Machines that can take a task now.
    Free,
    /// All machines, including those that are full or must not get tasks at present: preemption may
    /// free their resources, or the resources may be kept for an overdue gang.
    All,
}

impl Leader {
    /// Builds the input from the leader's current state, with the unfinished jobs in the order in
    /// which they were submitted.
    pub(in crate::leader) fn cycle_input(&self, now: f64, scope: MachineScope) -> CycleInput {
        let cycle = SchedulingCycle {
            max_bindings: self.log_writer.max_new_assignments(&self.deployment),
            teams: self.teams.clone(),
            ..Default::default()
        };
        let mut input = CycleInput { cycle, jobs: Vec::new(), machines: Vec::new() };
        self.add_machines(&mut input, now, scope);
        for (job_idx, job) in self.jobs.iter().filter(|(_, job)| !job.is_finished()) {
            input.jobs.push(*job_idx);
            input.cycle.jobs.push(self.schedulable_job(*job_idx, job, now));
        }
        input
    }

    /// Adds the machines in `scope` to the input. Whatever the scope, the total capacity includes
    /// every machine that is not leaving, whose type and zone are known and whose worker this
    /// process has seen.
    fn add_machines(&self, input: &mut CycleInput, now: f64, scope: MachineScope) {
        let unreachable_zones: BTreeSet<ZoneIdx> =
            self.failure_detector.unreachable_zones(now).collect();
        // The warm pool is open to all jobs once an array or service has waited for longer than
        // [`STARVED_AFTER_S`], so that such a job does not wait for too long.
        let warm_pool_reserved = !self.is_any_array_or_service_starved(now);
        for (machine_idx, machine) in &self.cluster.machines {
            let (Some(machine_type), Some(zone)) = (machine.machine_type, machine.zone) else {
                continue;
            };
            let Some(capacity) = self.catalog.capacity(machine_type) else { continue };
            if machine.is_leaving() || !machine.liveness.was_seen() {
                continue;
            }
            input.cycle.total_capacity += capacity;
            let free = capacity - machine.requested();
            let schedulable =
                self.is_schedulable(machine, now) && !unreachable_zones.contains(&zone);
            let may_take_task = schedulable && free.cpus > 0 && free.memory > 0;
            if scope == MachineScope::Free && !may_take_task {
                continue;
            }
            input.machines.push(*machine_idx);
            input.cycle.machines.push(SchedulableMachine {
                capacity,
                free,
                machine_type,
                zone,
                spot: machine.spot,
                cached_or_fetching: machine.images.cached_or_fetching().collect(),
                cached_images: machine.images.cached().iter().copied().collect(),
                fetching: self.is_fetching(*machine_idx, machine),
                schedulable,
                warm_pool: machine.warm_pool && warm_pool_reserved,
            });
        }
    }

    /// Whether a machine may get new tasks, judged by its own state; whether its zone is reachable
    /// is checked separately.
    fn is_schedulable(&self, machine: &Machine, now: f64) -> bool {
        // A machine that responds to probes but sends no heartbeats will lose its tasks when its
        // lease expires.
        machine.liveness.heartbeat_age_s(now) < self.deployment.workers.heartbeat_timeout_s()
            && !machine.quarantine.is_active(now)
            && machine.is_reachable()
    }

    /// Whether any task on a machine is waiting for its image to be fetched, as far as the leader
    /// knows.
    fn is_fetching(&self, machine_idx: MachineIdx, machine: &Machine) -> bool {
        self.attempts
            .images_not_yet_running(machine_idx)
            .any(|image| !machine.images.is_cached(image))
    }

    /// Whether an array or service has waited for longer than [`STARVED_AFTER_S`] without a task on
    /// any machine.
    fn is_any_array_or_service_starved(&self, now: f64) -> bool {
        self.jobs.iter().any(|(job_idx, job)| {
            !job.is_finished()
                && !job.is_gang()
                && self.attempts.of_job(*job_idx).is_empty()
                && !job.backoff.is_active(now)
                && job.pending.waited_s(now) > STARVED_AFTER_S
        })
    }

    /// Builds the scheduler's view of a job.
    fn schedulable_job(&self, job_idx: JobIdx, job: &Job, now: f64) -> SchedulableJob {
        let is_held = is_held(job, now);
        let has_attempts = !self.attempts.of_job(job_idx).is_empty();
        SchedulableJob {
            team: job.team,
            priority: job.spec.priority.level(),
            task_request: job.task_request,
            remaining: job.remaining(),
            pending: if is_held { 0 } else { job.pending.len() as u32 },
            speculative_restarts: if is_held { 0 } else { job.pending.speculative_restarts() },
            image: job.image,
            machine_types: job.machine_types.clone(),
            zone: job.zone,
            single_zone: job.spec.single_zone,
            max_tasks_per_zone: if job.spec.spread { job.spec.tasks.div_ceil(2) } else { u32::MAX },
            allows_spot: job.spec.spot,
            tasks_by_zone: job.zone_placement.by_zone().to_vec(),
            gang: job.is_gang(),
            replaces_gang_members: has_attempts && self.is_gang_unstarted(job_idx),
            // Not set for a gang, since the cycle prefers machines that have the gang's image
            // anyway.
            requires_cached_image: !job.is_gang()
                && job.requires_cached_image(&self.deployment, self.image_fetch_s(job), now),
            overdue_s: overdue_s(job, has_attempts, now),
        }
    }
}

/// Whether a job must not be scheduled now. After a takeover the zone of a machine may not be
/// known yet; a job that constrains the zones of its tasks relative to one another is held until
/// the zones of all its attempts are known.
fn is_held(job: &Job, now: f64) -> bool {
    let zones_matter = job.spec.single_zone || job.spec.spread;
    job.backoff.is_active(now) || (zones_matter && job.zone_placement.has_unknown_zone())
}

/// How many seconds a job has waited beyond [`OVERDUE_AFTER_S`]; 0 if the job is not overdue.
///
/// A waiting gang always counts: it has no task on any machine, except while it replaces a lost
/// member, for up to 5 s (`REPLACEMENT_TIMEOUT_S`), or while its other tasks are being stopped. An
/// array counts only while it has no task on any machine, which happens as long as its fair share
/// rounds down to zero or resources become free in amounts that are too small for a task. Services
/// never count as overdue.
fn overdue_s(job: &Job, has_attempts: bool, now: f64) -> u32 {
    let may_be_overdue = match job.spec.kind {
        JobKind::Gang => true,
        JobKind::Array => !has_attempts,
        JobKind::Service => false,
    };
    let waited_s = if may_be_overdue { job.pending.waited_s(now) } else { 0.0 };
    (waited_s - OVERDUE_AFTER_S).max(0.0).ceil() as u32
}
