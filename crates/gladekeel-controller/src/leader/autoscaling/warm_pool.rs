//! The warm pool: machines that are kept for gangs whose users want them to start at once.
//!
//! Machines for a whole gang would be late if they first had to be freed, and so would its image.
//! So in each zone some on-demand machines are left to gangs, by the gangs that arrived of late.
//! [`Leader::maintain_warm_pool`] chooses the machines and sets [`Machine::warm_pool`]; scheduling
//! leaves them to gangs until an array has waited for too long, and scale-in keeps them.
//!
//! [`Machine::warm_pool`]: crate::leader::Machine::warm_pool

use super::{arrivals::ArrivalClass, demand::MachineFit};
use crate::leader::{Leader, Machine};
use gladekeel_sched::{ImageIdx, JobIdx, MachineIdx, MachineTypeIdx, ZoneIdx};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// Time constant with which gangs that have arrived decay, and after which a class without new
/// ones is forgotten.
const GANG_DECAY_S: f64 = 180.0;
/// Machines in the pool per machine that gangs keep busy on average: they arrive in clusters.
const POOL_PER_BUSY_MACHINE: f64 = 1.5;
/// So many machines beyond the target stay in the pool: the target goes up and down.
const MAX_EXCESS: usize = 2;
/// The pool has at most one in so many on-demand machines of a zone.
const MIN_MACHINES_PER_POOL_MACHINE: usize = 3;

/// Gangs of a class that arrived in the last minutes.
#[derive(Debug)]
struct GangArrivals {
    /// Machine-seconds of work as of `last_at`, the older the less it counts.
    machine_seconds: f64,
    /// Machines that the largest of them takes.
    largest: f64,
    first_at: f64,
    last_at: f64,
    images: BTreeSet<ImageIdx>,
}

impl GangArrivals {
    fn new(first_at: f64) -> GangArrivals {
        GangArrivals {
            machine_seconds: 0.0,
            largest: 0.0,
            first_at,
            last_at: 0.0,
            images: BTreeSet::new(),
        }
    }

    fn add(&mut self, submitted_at: f64, machine_seconds: f64, machines: f64, image: ImageIdx) {
        self.machine_seconds =
            self.machine_seconds * decay(submitted_at - self.last_at) + machine_seconds;
        self.largest = self.largest.max(machines);
        self.last_at = self.last_at.max(submitted_at);
        self.images.insert(image);
    }

    /// Machines that they keep busy on average.
    fn busy_machines(&self, now: f64) -> f64 {
        // Over a short time since the first one only so much can have been added up; one gang
        // alone does not make a high average.
        let observed_s = (now - self.first_at).max(GANG_DECAY_S / 6.0);
        let weighted_s = GANG_DECAY_S * (1.0 - decay(observed_s));
        self.machine_seconds * decay(now - self.last_at) / weighted_s
    }
}

/// The weight of what is so many seconds old.
fn decay(age_s: f64) -> f64 {
    (-age_s.max(0.0) / GANG_DECAY_S).exp()
}

/// What the gangs of a machine type ask of its pool.
#[derive(Debug, Clone, Copy, Default)]
struct PoolDemand {
    busy_machines: f64,
    largest: f64,
}

impl PoolDemand {
    fn target(self) -> usize {
        (POOL_PER_BUSY_MACHINE * self.busy_machines + self.largest).ceil() as usize + 1
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PoolKey {
    machine_type: MachineTypeIdx,
    zone: ZoneIdx,
}

/// The gangs that arrived of late, and how many machines are kept for them.
#[derive(Debug, Default)]
pub(in crate::leader) struct WarmPool {
    arrivals: BTreeMap<ArrivalClass, GangArrivals>,
    sizes: BTreeMap<MachineTypeIdx, u32>,
}

impl WarmPool {
    /// How many on-demand machines of a type are to be kept.
    pub fn target(&self, machine_type_idx: MachineTypeIdx) -> u32 {
        self.sizes.get(&machine_type_idx).copied().unwrap_or(0)
    }

    fn forget_old_arrivals(&mut self, now: f64) {
        self.arrivals.retain(|_, arrivals| now - arrivals.last_at < GANG_DECAY_S);
    }

    fn demands(&self, now: f64) -> BTreeMap<MachineTypeIdx, PoolDemand> {
        let mut demands: BTreeMap<MachineTypeIdx, PoolDemand> = BTreeMap::new();
        for (class, arrivals) in &self.arrivals {
            let demand = demands.entry(class.machine_type).or_default();
            demand.busy_machines += arrivals.busy_machines(now);
            demand.largest = demand.largest.max(arrivals.largest);
        }
        demands
    }

    fn images(&self) -> BTreeSet<ImageIdx> {
        self.arrivals.values().flat_map(|arrivals| arrivals.images.iter().copied()).collect()
    }
}

impl Leader {
    /// Counts a job that was just submitted, if it is a gang that should start at once. `work`
    /// is in machine-seconds.
    pub(super) fn count_gang_arrival(&mut self, job_idx: JobIdx, fit: MachineFit, work: f64) {
        let Some(job) = self.jobs.get(&job_idx) else { return };
        if !job.is_gang() || !job.has_start_objective(&self.deployment) {
            return;
        }
        let class = ArrivalClass { machine_type: fit.machine_type, class: job.spec.class.clone() };
        let machines = f64::from(job.spec.tasks) / f64::from(fit.tasks_per_machine);
        let arrivals = &mut self.cluster.warm_pool.arrivals;
        let of_class = arrivals.entry(class).or_insert_with(|| GangArrivals::new(job.submitted_at));
        of_class.add(job.submitted_at, work, machines, job.image);
    }

    /// Chooses the machines of the warm pool anew. Called at each maintenance interval, before
    /// [`Leader::autoscale`].
    pub(in crate::leader) fn maintain_warm_pool(&mut self, now: f64) {
        self.cluster.warm_pool.forget_old_arrivals(now);
        let demands = self.cluster.warm_pool.demands(now);
        let images = self.cluster.warm_pool.images();
        self.cluster.warm_pool.sizes.clear();
        let mut chosen = BTreeSet::new();
        for (key, machines) in self.warm_pool_candidates(&demands) {
            let target = demands[&key.machine_type].target();
            let machines = self.choose_warm_pool(machines, target, &images);
            let sizes = &mut self.cluster.warm_pool.sizes;
            *sizes.entry(key.machine_type).or_default() += machines.len() as u32;
            chosen.extend(machines);
        }
        for (machine_idx, machine) in &mut self.cluster.machines {
            machine.warm_pool = chosen.contains(machine_idx);
        }
    }

    /// The on-demand machines of types with a demand, by type and zone.
    fn warm_pool_candidates(
        &self,
        demands: &BTreeMap<MachineTypeIdx, PoolDemand>,
    ) -> BTreeMap<PoolKey, Vec<MachineIdx>> {
        let mut candidates: BTreeMap<PoolKey, Vec<MachineIdx>> = BTreeMap::new();
        for (machine_idx, machine) in &self.cluster.machines {
            let (Some(machine_type), Some(zone)) = (machine.machine_type, machine.zone) else {
                continue;
            };
            let usable = !machine.spot && !machine.is_leaving() && machine.liveness.was_seen();
            if usable && demands.contains_key(&machine_type) {
                candidates.entry(PoolKey { machine_type, zone }).or_default().push(*machine_idx);
            }
        }
        candidates
    }

    /// The machines of a zone that are kept: those of the pool so far, then those that have
    /// most of the images, then those with the least work.
    fn choose_warm_pool(
        &self,
        mut machines: Vec<MachineIdx>,
        target: usize,
        images: &BTreeSet<ImageIdx>,
    ) -> Vec<MachineIdx> {
        let machine =
            |machine_idx: &MachineIdx| -> &Machine { &self.cluster.machines[machine_idx] };
        let target = target.min(machines.len() / MIN_MACHINES_PER_POOL_MACHINE);
        let so_far = machines.iter().filter(|idx| machine(idx).warm_pool).count();
        let size = target.max(so_far.min(target + MAX_EXCESS));
        machines.sort_by_key(|machine_idx| {
            let machine = machine(machine_idx);
            let cached = machine.images.cached().intersection(images).count();
            (!machine.warm_pool, Reverse(cached), machine.requested().cpus)
        });
        machines.truncate(size);
        machines
    }
}
