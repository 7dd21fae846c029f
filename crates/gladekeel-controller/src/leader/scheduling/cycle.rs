//! A round of placements.

use crate::leader::{AssignmentPhase, Attempt, AttemptId, Job, Leader};
use crate::runtime_settings::RuntimeSettings;
use gladekeel_sched::cycle;
use gladekeel_sched::{DenseIndex, JobIdx, MachineIdx, ZoneIdx};
use gladekeel_wire::job::JobKind;
use std::collections::{BTreeMap, BTreeSet};

/// A job that has waited for longer with nothing on any machine goes first.
const PATIENCE_S: f64 = 60.0;
/// A job that has waited for longer with nothing on any machine may use what is kept for
/// gangs.
const STARVED_S: f64 = 75.0;

/// A round with the leader's indices beside its own.
pub(in crate::leader) struct CycleInput {
    pub cycle: cycle::SchedulingCycle,
    pub jobs: Vec<JobIdx>,
    pub machines: Vec<MachineIdx>,
}

impl Leader {
    pub(in crate::leader) fn run_scheduling_cycle(&mut self, now: f64, options: &RuntimeSettings) {
        if self.jobs.values().all(|job| job.pending.is_empty()) {
            return;
        }
        // A gang that has waited long gets room that full machines will have.
        let overdue_gang = self.jobs.values().any(|job| {
            job.is_gang() && !job.is_finished() && job.pending.waited_s(now) > PATIENCE_S
        });
        let mut input = self.round_input(now, overdue_gang);
        let mut gangs: BTreeMap<JobIdx, u64> = BTreeMap::new();
        let pending: u32 = input.cycle.jobs.iter().map(|job| job.pending).sum();
        let placements = input.cycle.run(&options.fair_share);
        self.cluster.counters.machines_examined += input.cycle.machines_examined;
        tracing::debug!(
            machines = input.machines.len(),
            pending,
            placed = placements.len(),
            most = input.cycle.max_bindings,
            "round"
        );
        for placement in placements {
            let (job, machine) = (input.jobs[placement.job], input.machines[placement.machine]);
            let gang = input.cycle.jobs[placement.job].gang.then(|| {
                *gangs.entry(job).or_insert_with(|| {
                    let gang = &self.jobs[&job];
                    if !self.attempts.of_job(job).is_empty() {
                        // A task that is gone is replaced; the others wait for it.
                        return gang.gang_attempt;
                    }
                    let first = self.next_attempt;
                    self.next_attempt += u64::from(gang.spec.tasks);
                    first
                })
            });
            self.bind(job, machine, gang, now);
        }
        for job in self.jobs.values_mut().filter(|job| !job.is_finished()) {
            job.pending.record_unbound(now);
        }
    }

    /// The round as things are; full machines are in it only if `full`.
    pub(in crate::leader) fn round_input(&self, now: f64, full: bool) -> CycleInput {
        let most = self.log_writer.batch(&self.deployment);
        let mut input = CycleInput {
            cycle: cycle::SchedulingCycle {
                max_bindings: most,
                teams: self.teams.clone(),
                ..Default::default()
            },
            jobs: Vec::new(),
            machines: Vec::new(),
        };
        self.add_machines(&mut input, now, full);
        for (ix, job) in self.jobs.iter().filter(|(_, job)| !job.is_finished()) {
            input.jobs.push(*ix);
            input.cycle.jobs.push(self.round_job(*ix, job, now));
        }
        input
    }

    fn add_machines(&self, input: &mut CycleInput, now: f64, full: bool) {
        let late_s = self.deployment.workers.heartbeat_timeout_s();
        let quiet: BTreeSet<ZoneIdx> = self.reachability.unreachable_zones(now).collect();
        // What is kept for gangs is given up before anybody has waited too long for it.
        let keeps_standby = !self.is_any_array_starved(now);
        for (ix, machine) in &self.cluster.machines {
            let (Some(kind), Some(zone)) = (machine.machine_type, machine.zone) else { continue };
            let Some(whole) = self.catalog.capacity(kind) else { continue };
            if machine.is_leaving() || machine.last_seen.is_none() {
                continue;
            }
            input.cycle.total_capacity += whole;
            let free = whole - machine.requested;
            // One that answers and does not report will lose its tasks with its lease.
            let open = now - machine.silent_since.min(machine.last_heartbeat.0) < late_s
                && now >= machine.quarantined_until
                && machine.is_reachable()
                && !quiet.contains(&zone);
            if !full && (!open || free.cpus <= 0 || free.memory <= 0) {
                continue;
            }
            input.machines.push(*ix);
            input.cycle.machines.push(cycle::SchedulableMachine {
                capacity: whole,
                free,
                machine_type: kind,
                zone,
                spot: machine.spot,
                cached_or_fetching: machine.images.iter().map(|(image, _)| *image).collect(),
                cached_images: machine.cached_images.iter().copied().collect(),
                // Whether one of its tasks waits for an image, as far as known.
                fetching: self
                    .attempts
                    .images_not_yet_running(*ix)
                    .any(|image| !machine.cached_images.contains(&image)),
                schedulable: open,
                warm_pool: machine.warm_pool && keeps_standby,
            });
        }
    }

    /// Whether an array has waited too long with nothing on any machine.
    fn is_any_array_starved(&self, now: f64) -> bool {
        self.jobs.iter().any(|(ix, job)| {
            let waits = !job.is_finished()
                && !job.is_gang()
                && self.attempts.of_job(*ix).is_empty()
                && !job.backoff.is_active(now);
            waits && job.pending.waited_s(now) > STARVED_S
        })
    }

    fn round_job(&self, ix: JobIdx, job: &Job, now: f64) -> cycle::SchedulableJob {
        // After a takeover the zone of a machine may not be known yet; jobs whose
        // tasks must be in certain zones relative to one another wait for it.
        let zones_matter = job.spec.single_zone || job.spec.spread;
        let held =
            job.backoff.is_active(now) || (zones_matter && job.zone_placement.has_unknown_zone());
        let array = job.spec.kind == JobKind::Array;
        // A gang that waits has nothing on any machine; of an array that is so as
        // long as its share rounds down to nothing or room comes in small pieces.
        let nowhere = self.attempts.of_job(ix).is_empty();
        let idle = (!array || nowhere) && job.spec.kind != JobKind::Service;
        let waited = if idle { job.pending.waited_s(now) } else { 0.0 };
        cycle::SchedulableJob {
            team: job.team,
            priority: job.spec.priority as u8,
            task_request: job.task_request,
            remaining: job.remaining(),
            pending: if held { 0 } else { job.pending.len() as u32 },
            speculative_restarts: if held { 0 } else { job.pending.speculative_restarts() },
            image: job.image,
            machine_types: job.machine_types.clone(),
            zone: job.zone,
            single_zone: job.spec.single_zone,
            max_tasks_per_zone: if job.spec.spread { job.spec.tasks.div_ceil(2) } else { u32::MAX },
            spot: job.spec.spot,
            tasks_by_zone: job.zone_placement.by_zone().to_vec(),
            gang: job.is_gang(),
            replaces_gang_members: !nowhere && self.still_waits(ix),
            // A gang looks for the image before all else, in any case.
            requires_cached_image: !job.is_gang()
                && job.requires_cached_image(&self.deployment, self.fetch_s(job), now),
            overdue_s: (waited - PATIENCE_S).max(0.0).ceil() as u32,
        }
    }

    /// Decides that a job's next task goes to a machine; `gang` is the number that
    /// the tasks of a gang share.
    fn bind(&mut self, job_ix: JobIdx, machine_ix: MachineIdx, gang: Option<u64>, now: f64) {
        let (Some(job), Some(machine)) =
            (self.jobs.get_mut(&job_ix), self.cluster.machines.get_mut(&machine_ix))
        else {
            return;
        };
        let Some(index) = job.pending.next() else { return };
        let number = gang.unwrap_or(self.next_attempt);
        let id = if gang.is_some() {
            AttemptId::of_gang_task(number, index)
        } else {
            self.next_attempt += 1;
            AttemptId::from_logged(number)
        };
        job.gang_attempt = number;
        job.zone_placement.add(machine.zone);
        let cache = machine
            .machine_type
            .and_then(|kind| self.catalog.machine_type(kind))
            .map_or(0.0, |machine_type| machine_type.cache_gb);
        let cached = machine.images.iter().any(|(image, _)| *image == job.image);
        machine.record_image_use(job.image, job.spec.image_gb, cache);
        machine.attempts.insert(id);
        machine.requested += job.task_request;
        self.teams[job.team.position()].used += job.task_request;
        self.attempts.insert(
            id,
            Attempt {
                job: job_ix,
                task_index: index,
                machine: machine_ix,
                zone: machine.zone,
                incarnation: machine.newest_message.0,
                phase: AssignmentPhase::Proposed,
                reported_state: None,
                running_since: None,
                stop_reason: None,
                stops_sent: 0,
                start_sent: false,
                resources: job.task_request,
                image: job.image,
                recovered: false,
                segment: 0,
            },
        );
        self.log_writer.proposed.insert(id);
        self.changed_progress.insert(job_ix);
        tracing::debug!(job = %job.id, index, machine = machine.name, cached, now, "placed");
    }
}
