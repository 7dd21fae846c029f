//! How many machines of each type there should be, which to rent and which to return.

use crate::leader::{
    Job, Leader, autoscaling::cloud_requests::MachinePool, machine::DeletionReason,
};
use crate::runtime_settings::RuntimeSettings;
use gladekeel_sched::{DenseIndex, JobIdx, MachineIdx, MachineTypeIdx, ZoneIdx};
use gladekeel_sched::{
    Resources,
    autoscaling::{ArrivalRate, Autoscaler, JobDemand, ScalingInput, ScalingPlan, Supply},
};
use std::collections::{BTreeMap, HashMap};

/// How long work that came tells of what will come.
const ARRIVALS_S: f64 = 60.0;

/// What unfinished jobs and those that came lately ask of the fleet.
#[derive(Debug, Default)]
pub(in crate::leader) struct Demand {
    /// By type, for all its machines and for its ordinary ones alone.
    sizers: HashMap<(MachineTypeIdx, bool), Autoscaler>,
    /// Work that came lately, by type and class, and as of when.
    arrived: BTreeMap<(MachineTypeIdx, String), ArrivalRate>,
    arrived_at: f64,
}

impl Demand {
    /// Lets what came count less the longer ago it was.
    fn fade(&mut self, now: f64) {
        let weight = (-(now - self.arrived_at).max(0.0) / ARRIVALS_S).exp();
        self.arrived_at = now;
        self.arrived.values_mut().for_each(|flow| flow.machines *= weight);
    }

    /// Work of each class that goes on coming, for a type.
    fn flows(&self, kind: MachineTypeIdx) -> Vec<ArrivalRate> {
        let of_kind = self.arrived.iter().filter(|((of, _), _)| *of == kind);
        of_kind
            .map(|(_, flow)| ArrivalRate { machines: flow.machines / ARRIVALS_S, ..*flow })
            .collect()
    }
}

/// The plans for the machines of one type.
#[derive(Debug, Default)]
struct KindPlans {
    /// For all work, on machines of any kind.
    any: ScalingPlan,
    /// For work that may not use spot machines, on ordinary ones.
    ordinary: ScalingPlan,
}

/// How many idle machines may go back.
struct Spare {
    ordinary: usize,
    spot: usize,
}

impl KindPlans {
    /// Ordinary machines may go as soon as they are not needed; cheap ones stay for what
    /// usually comes.
    fn spare(&self, any: &Supply, ordinary: &Supply) -> Spare {
        let over = |supply: &Supply, bound: f64| {
            let have = supply.up + supply.booting.len() as f64;
            (have - bound.round()).max(0.0) as usize
        };
        let spare_ordinary =
            over(ordinary, self.ordinary.required).min(over(any, self.any.required));
        let spare_spot = over(any, self.any.retain).saturating_sub(spare_ordinary);
        Spare { ordinary: spare_ordinary, spot: spare_spot }
    }
}

impl Leader {
    /// Decides which machines to rent and which to return.
    pub(in crate::leader) fn autoscale(&mut self, now: f64, options: &RuntimeSettings) {
        self.cluster.cloud.forget_old_deletions(now);
        let gone = self.cluster.leaving.iter().copied().filter(|ix| {
            self.cluster.machines.get(ix).is_some_and(|m| m.deletion.is_confirmed() && m.is_idle())
        });
        for ix in gone.collect::<Vec<_>>() {
            self.cluster.machines.remove(&ix);
            self.cluster.leaving.remove(&ix);
        }
        self.cluster.cloud.clear_wanted();
        self.cluster.demand.fade(now);
        let mut needs = self.needs(now);
        for kind in self.catalog.machine_type_indices() {
            let needs = needs.remove(&kind).unwrap_or_default();
            self.size_kind(now, options, kind, &needs);
        }
        self.want_bound_rentals(now);
    }

    /// A job has just come.
    pub(in crate::leader) fn count_arrival(&mut self, ix: JobIdx) {
        let Some(job) = self.jobs.get(&ix) else { return };
        let Some((kind, fits)) = self.kind_for(job) else { return };
        let run_s = self.expected_run(job);
        let work = f64::from(job.spec.tasks) / f64::from(fits) * run_s;
        let due_s = job.time_allowed_s(&self.deployment, run_s);
        let class = job.spec.class.clone();
        let flow = self.cluster.demand.arrived.entry((kind, class)).or_default();
        let total = (flow.machines + work).max(1e-9);
        // Classes' due times differ from job to job: the mean by work.
        flow.due_s += (due_s - flow.due_s) * work / total;
        flow.machines = total;
        self.count_gang(ix, kind, work, fits);
    }

    /// What unfinished jobs need, by machine type; with it whether they may use
    /// spot machines.
    fn needs(&self, now: f64) -> BTreeMap<MachineTypeIdx, Vec<(bool, JobDemand)>> {
        let mut needs: BTreeMap<MachineTypeIdx, Vec<(bool, JobDemand)>> = BTreeMap::new();
        let mut left: Vec<_> = self.teams.iter().map(|team| team.limit).collect();
        for (ix, job) in self.jobs.iter().filter(|(_, job)| !job.is_finished()) {
            let Some((kind, fits)) = self.kind_for(job) else { continue };
            let allowed = job.task_request.times_in(
                Resources { memory: i64::MAX / 4, ..left[job.team.position()] },
                job.remaining(),
            );
            left[job.team.position()] -= job.task_request * i64::from(allowed);
            let running = (self.attempts.of_job(*ix).len() as u32).min(allowed);
            let pending = if job.backoff.is_active(now) { 0 } else { allowed - running };
            let run_s = self.expected_run(job);
            let need = JobDemand {
                pending: f64::from(pending) / f64::from(fits),
                running: f64::from(running) / f64::from(fits),
                run_s,
                time_left_s: job.time_allowed_s(&self.deployment, run_s) - (now - job.submitted_at),
                gang: job.is_gang(),
            };
            needs.entry(kind).or_default().push((job.spec.spot, need));
        }
        needs
    }

    /// How long a machine fetches the job's image.
    pub(in crate::leader) fn fetch_s(&self, job: &Job) -> f64 {
        let rate = self
            .kind_for(job)
            .and_then(|(kind, _)| self.catalog.machine_type(kind))
            .map_or(1.0, |t| t.fetch_gb_per_s);
        job.spec.image_gb / rate.max(0.01)
    }

    /// How long a task of the job runs: the owner's estimate, put right by what
    /// its class has shown.
    pub(in crate::leader) fn expected_run(&self, job: &Job) -> f64 {
        let ratio = self.cluster.run_time_ratios.get(&job.spec.class).copied().unwrap_or(1.0);
        (job.spec.estimate_s * ratio).max(1.0)
    }

    /// The type on which a job's tasks cost least, and how many fit on one.
    pub(in crate::leader) fn kind_for(&self, job: &Job) -> Option<(MachineTypeIdx, u32)> {
        let fitting = |kind: MachineTypeIdx| -> Option<(f64, MachineTypeIdx, u32)> {
            let machine_type = self.catalog.machine_type(kind)?;
            let fits = job.task_request.times_in(self.catalog.capacity(kind)?, 1000);
            let zone_fits = job
                .zone
                .is_none_or(|zone| machine_type.zones.contains(self.catalog.zones.name(zone)));
            (fits > 0 && zone_fits).then(|| (machine_type.price / f64::from(fits), kind, fits))
        };
        let all: Vec<MachineTypeIdx> = self.catalog.machine_type_indices().collect();
        job.machine_types
            .as_ref()
            .unwrap_or(&all)
            .iter()
            .filter_map(|kind| fitting(*kind))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, kind, fits)| (kind, fits))
    }

    /// What there is of a type, and of its ordinary machines alone.
    fn supply(
        &self,
        now: f64,
        kind: MachineTypeIdx,
        boot_s: f64,
        silent_s: f64,
    ) -> (Supply, Supply) {
        let (mut any, mut ordinary) = (Supply::default(), Supply::default());
        for machine in self.cluster.machines.values() {
            if machine.machine_type != Some(kind) || machine.is_leaving() {
                continue;
            }
            let age = machine.provisioned_at.age_s(now);
            for supply in [Some(&mut any), (!machine.spot).then_some(&mut ordinary)] {
                let Some(supply) = supply else { continue };
                if machine.liveness.was_seen()
                    || (machine.has_booted()
                        && (machine.liveness.silent_s(now) < silent_s
                            || machine.zone.is_some_and(|zone| {
                                self.failure_detector.is_zone_unreachable(zone, now)
                            })))
                {
                    supply.up += 1.0;
                } else if !machine.has_booted() && age <= boot_s * 1.6 + 5.0 {
                    // One that boots unusually long is no longer counted on.
                    supply.booting.push((boot_s - age).max(5.0));
                }
            }
        }
        for (pool, count) in self.cluster.cloud.open_rentals() {
            if pool.kind == kind {
                let booting = vec![boot_s; count as usize];
                any.booting.extend(&booting);
                if !pool.spot {
                    ordinary.booting.extend(&booting);
                }
            }
        }
        (any, ordinary)
    }

    fn size_kind(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
        kind: MachineTypeIdx,
        needs: &[(bool, JobDemand)],
    ) {
        let Some(machine_type) = self.catalog.machine_type(kind) else { return };
        let boot_s = machine_type.boot_s;
        let (any, ordinary) = self.supply(now, kind, boot_s, options.unreachable_after_s);
        let plans = self.plan_kind(now, options, kind, needs, [&any, &ordinary]);
        tracing::debug!(
            %kind,
            up = any.up,
            booting = any.booting.len(),
            rent = plans.any.scale_out,
            need = plans.any.required,
            keep = plans.any.retain,
            pending = needs.iter().map(|(_, need)| need.pending).sum::<f64>(),
            running = needs.iter().map(|(_, need)| need.running).sum::<f64>(),
            "fleet"
        );
        self.want_rentals(now, kind, &plans);
        let spare = plans.spare(&any, &ordinary);
        self.return_idle(now, options, kind, false, spare.ordinary);
        self.return_idle(now, options, kind, true, spare.spot);
    }

    /// Plans the machines of a type, for all work and for what may not use spot machines,
    /// with the supplies of each.
    fn plan_kind(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
        kind: MachineTypeIdx,
        needs: &[(bool, JobDemand)],
        [any, ordinary]: [&Supply; 2],
    ) -> KindPlans {
        let Some(machine_type) = self.catalog.machine_type(kind) else {
            return KindPlans::default();
        };
        let boot_s = machine_type.boot_s;
        let all: Vec<JobDemand> = needs.iter().map(|(_, need)| *need).collect();
        let no_spot: Vec<JobDemand> =
            needs.iter().filter(|(spot, _)| !spot).map(|(_, need)| *need).collect();
        let demand = &mut self.cluster.demand;
        let flows = demand.flows(kind);
        let sizing = &options.autoscaler;
        let sizer = demand.sizers.entry((kind, false)).or_default();
        let input = ScalingInput { demands: &all, supply: any, arrivals: &flows, boot_s };
        let any = sizer.plan(now, &input, sizing);
        let sizer = demand.sizers.entry((kind, true)).or_default();
        let input = ScalingInput { demands: &no_spot, supply: ordinary, arrivals: &[], boot_s };
        let ordinary = sizer.plan(now, &input, sizing);
        let mut plans = KindPlans { any, ordinary };
        let standby = f64::from(self.cluster.warm_pool.wanted(kind));
        plans.ordinary.required = plans.ordinary.required.max(standby);
        plans
    }

    /// Asks for the machines of a type that are to be rented: spot ones first; what they
    /// cannot give, ordinary ones do in the next round.
    fn want_rentals(&mut self, now: f64, kind: MachineTypeIdx, plans: &KindPlans) {
        let Some(machine_type) = self.catalog.machine_type(kind) else { return };
        let may_spot = machine_type.spot_price.is_some();
        let need = plans.any.scale_out.ceil() as usize;
        let need_ordinary = (plans.ordinary.scale_out.ceil() as usize).min(need);
        let spot_zones =
            if may_spot { self.zones_with_capacity(now, kind, true) } else { Vec::new() };
        self.spread_rentals(kind, true, &spot_zones, need.saturating_sub(need_ordinary));
        let left = if spot_zones.is_empty() { need } else { need_ordinary };
        let ordinary_zones = self.zones_with_capacity(now, kind, false);
        self.spread_rentals(kind, false, &ordinary_zones, left);
    }

    /// Zones that may have such machines to rent, the one that has fewest so far first.
    fn zones_with_capacity(&self, now: f64, kind: MachineTypeIdx, spot: bool) -> Vec<ZoneIdx> {
        let Some(machine_type) = self.catalog.machine_type(kind) else { return Vec::new() };
        let mut zones: Vec<ZoneIdx> = machine_type
            .zones
            .iter()
            .filter_map(|zone| self.catalog.zones.get(zone.as_str()))
            .filter(|zone| {
                self.cluster.cloud.may_have_capacity(MachinePool { kind, zone: *zone, spot }, now)
            })
            .collect();
        let mut counts: BTreeMap<ZoneIdx, usize> = BTreeMap::new();
        let machines = self.cluster.machines.values();
        for machine in machines.filter(|m| m.machine_type == Some(kind) && m.spot == spot) {
            if let Some(zone) = machine.zone {
                *counts.entry(zone).or_default() += 1;
            }
        }
        zones.sort_by_key(|zone| counts.get(zone).copied().unwrap_or(0));
        zones
    }

    /// Divides rentals evenly between zones, the first ones getting what is left over.
    fn spread_rentals(
        &mut self,
        kind: MachineTypeIdx,
        spot: bool,
        zones: &[ZoneIdx],
        count: usize,
    ) {
        let mut shares: Vec<(ZoneIdx, usize)> = Vec::new();
        for (place, zone) in zones.iter().copied().enumerate() {
            let extra = usize::from(place < count % zones.len());
            shares.push((zone, count / zones.len() + extra));
        }
        shares.sort_unstable();
        for (zone, share) in shares.into_iter().filter(|(_, share)| *share > 0) {
            self.cluster.cloud.want(MachinePool { kind, zone, spot }, share as u32);
        }
    }

    fn return_idle(
        &mut self,
        now: f64,
        options: &RuntimeSettings,
        kind: MachineTypeIdx,
        spot: bool,
        spare: usize,
    ) {
        let mut idle: Vec<(f64, MachineIdx)> = self
            .cluster
            .machines
            .iter()
            .filter(|(_, m)| {
                m.machine_type == Some(kind)
                    && m.spot == spot
                    && !m.is_leaving()
                    && !m.warm_pool
                    && m.liveness.was_seen()
                    && m.is_idle()
                    && now - m.workload.idle_since() >= options.idle_timeout_s
                    // A minute is charged in any case.
                    && m.provisioned_at.age_s(now) >= 55.0
            })
            .map(|(ix, m)| (m.workload.idle_since(), *ix))
            .collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, ix) in idle.into_iter().take(spare) {
            self.cluster.mark_for_deletion(now, ix, DeletionReason::Idle);
        }
    }
}
