//! The warm pool: machines that are reserved for gangs that should start at once.
//!
//! Such a gang would start late if its machines had to be freed and its image fetched first.
//! Therefore some on-demand machines in each zone are reserved for gangs; how many depends on the
//! gangs that arrived recently. [`Leader::maintain_warm_pool`] chooses the machines and sets
//! [`Machine::warm_pool`]. Scheduling reserves these machines for gangs until an array or service
//! has waited for too long, and scale-in does not delete them.
//!
//! [`Machine::warm_pool`]: crate::leader::Machine::warm_pool

use super::{arrivals::ArrivalClass, demand::MachineFit};
use crate::leader::{Leader, Machine};
use gladekeel_sched::{ImageIdx, JobIdx, MachineIdx, MachineTypeIdx, ZoneIdx};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// Time constant with which the weight of past gang arrivals decays, in seconds. The arrivals of a
/// class expire when no gang of the class has arrived for this long.
const GANG_DECAY_S: f64 = 180.0;
/// Number of machines in a warm pool for each machine that gangs keep busy on average. More than 1
/// because gangs arrive in bursts.
const POOL_PER_BUSY_MACHINE: f64 = 1.5;
/// Maximum number of machines beyond the target that stay in a pool, so that a fluctuating target
/// does not remove and add machines all the time.
const MAX_EXCESS: usize = 2;
/// Minimum number of on-demand machines of a type that a zone must have for each machine in its
/// warm pool of that type.
const MIN_MACHINES_PER_POOL_MACHINE: usize = 3;

/// The gangs of a class that arrived recently.
#[derive(Debug)]
struct GangArrivals {
    /// Work of the gangs in machine-seconds; the weight of each gang's work has decayed until
    /// `last_at`.
    machine_seconds: f64,
    /// Number of machines that the largest of the gangs needs.
    largest_gang_machines: f64,
    /// When the first of the gangs was submitted.
    first_at: f64,
    /// When the last of the gangs was submitted.
    last_at: f64,
    /// The images of the gangs.
    images: BTreeSet<ImageIdx>,
}

impl GangArrivals {
    fn new(first_at: f64) -> GangArrivals {
        GangArrivals {
            machine_seconds: 0.0,
            largest_gang_machines: 0.0,
            first_at,
            last_at: 0.0,
            images: BTreeSet::new(),
        }
    }

    /// Adds a gang that needs `machines` machines for `machine_seconds` machine-seconds of work.
    fn add(&mut self, submitted_at: f64, machine_seconds: f64, machines: f64, image: ImageIdx) {
        self.machine_seconds =
            self.machine_seconds * decay_weight(submitted_at - self.last_at) + machine_seconds;
        self.largest_gang_machines = self.largest_gang_machines.max(machines);
        self.last_at = self.last_at.max(submitted_at);
        self.images.insert(image);
    }

    /// Returns how many machines the gangs of the class keep busy on average.
    fn busy_machines(&self, now: f64) -> f64 {
        // The decayed work covers only the time since the first gang, so it is divided by the
        // decayed length of that time. The minimum of `observed_s` prevents a high average after a
        // single gang.
        let observed_s = (now - self.first_at).max(GANG_DECAY_S / 6.0);
        let weighted_s = GANG_DECAY_S * (1.0 - decay_weight(observed_s));
        self.machine_seconds * decay_weight(now - self.last_at) / weighted_s
    }
}

/// Returns the weight of a gang that arrived `age_s` seconds ago; the weight decays exponentially.
fn decay_weight(age_s: f64) -> f64 {
    (-age_s.max(0.0) / GANG_DECAY_S).exp()
}

/// The demand of recent gangs for machines of one type in the warm pool.
#[derive(Debug, Clone, Copy, Default)]
struct PoolDemand {
    /// Number of machines that the gangs keep busy on average.
    busy_machines: f64,
    /// Number of machines that the largest gang needs.
    largest_gang_machines: f64,
}

impl PoolDemand {
    /// Returns the number of machines that a pool should have.
    fn target(self) -> usize {
        (POOL_PER_BUSY_MACHINE * self.busy_machines + self.largest_gang_machines).ceil() as usize
            + 1
    }
}

/// Identifies the warm pool of one machine type in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PoolKey {
    machine_type: MachineTypeIdx,
    zone: ZoneIdx,
}

/// The gangs that arrived recently, and how many machines are reserved for gangs.
#[derive(Debug, Default)]
pub(in crate::leader) struct WarmPool {
    arrivals: BTreeMap<ArrivalClass, GangArrivals>,
    sizes: BTreeMap<MachineTypeIdx, u32>,
}

impl WarmPool {
    /// Returns how many on-demand machines of a type must be kept for gangs.
    pub fn target(&self, machine_type_idx: MachineTypeIdx) -> u32 {
        self.sizes.get(&machine_type_idx).copied().unwrap_or(0)
    }

    fn expire_arrivals(&mut self, now: f64) {
        self.arrivals.retain(|_, arrivals| now - arrivals.last_at < GANG_DECAY_S);
    }

    /// Returns the demand of recent gangs by machine type.
    fn demands(&self, now: f64) -> BTreeMap<MachineTypeIdx, PoolDemand> {
        let mut demands: BTreeMap<MachineTypeIdx, PoolDemand> = BTreeMap::new();
        for (class, arrivals) in &self.arrivals {
            let demand = demands.entry(class.machine_type).or_default();
            demand.busy_machines += arrivals.busy_machines(now);
            demand.largest_gang_machines =
                demand.largest_gang_machines.max(arrivals.largest_gang_machines);
        }
        demands
    }

    /// Returns the images of all gangs that arrived recently.
    fn images(&self) -> BTreeSet<ImageIdx> {
        self.arrivals.values().flat_map(|arrivals| arrivals.images.iter().copied()).collect()
    }
}

impl Leader {
    /// Adds a job that was just submitted to the arrivals of its class, if the job is a gang whose
    /// class has an objective for the time until the start. `work` is in machine-seconds.
    pub(super) fn record_gang_arrival(&mut self, job_idx: JobIdx, fit: MachineFit, work: f64) {
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

    /// Chooses the machines of the warm pool again. Called at each maintenance interval, before
    /// [`Leader::autoscale`].
    pub(in crate::leader) fn maintain_warm_pool(&mut self, now: f64) {
        self.cluster.warm_pool.expire_arrivals(now);
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

    /// Returns the usable on-demand machines of the types in `demands`, by type and zone.
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

    /// Chooses about `target` of `machines`, which have the same type and zone, for the warm pool.
    /// Prefers machines that are in the pool already, then machines that have the most of `images`
    /// cached, then machines on which tasks request the fewest CPUs.
    fn choose_warm_pool(
        &self,
        mut machines: Vec<MachineIdx>,
        target: usize,
        images: &BTreeSet<ImageIdx>,
    ) -> Vec<MachineIdx> {
        let machine =
            |machine_idx: &MachineIdx| -> &Machine { &self.cluster.machines[machine_idx] };
        let target = target.min(machines.len() / MIN_MACHINES_PER_POOL_MACHINE);
        let current = machines.iter().filter(|idx| machine(idx).warm_pool).count();
        let size = target.max(current.min(target + MAX_EXCESS));
        machines.sort_by_key(|machine_idx| {
            let machine = machine(machine_idx);
            let cached = machine.images.cached().intersection(images).count();
            (!machine.warm_pool, Reverse(cached), machine.requested().cpus)
        });
        machines.truncate(size);
        machines
    }
}
