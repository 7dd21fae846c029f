//! A lookup structure that finds the machine for a task without examining all of them.
//!
//! [`CandidateIndex`] keeps the schedulable machines sorted by free CPUs, by pool (type, zone,
//! spot or on demand) and by the state of each image that a job needs. It is built once a cycle;
//! [`cycle`](crate::cycle) reports each binding to it, so that it stays equal to the machines of
//! the cycle.

use crate::snapshot::{ImageState, SchedulableJob, SchedulableMachine};
use crate::{ImageIdx, MachineTypeIdx, Resources, ZoneIdx};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Machines of one type and zone, spot or not: a job's constraints allow all of them or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MachinePool {
    machine_type: MachineTypeIdx,
    zone: ZoneIdx,
    spot: bool,
}

/// A machine's place in a [`FreeCpuOrder`]: fullest first, ties by position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateKey {
    free_cpus: i64,
    machine: u32,
}

impl CandidateKey {
    fn new(free: Resources, machine: usize) -> CandidateKey {
        CandidateKey { free_cpus: free.cpus, machine: machine as u32 }
    }
}

/// Machines of one pool by free CPUs, fullest first.
type FreeCpuOrder = BTreeSet<CandidateKey>;

/// The machines of each pool, by the pool's position.
type PoolOrders = Vec<FreeCpuOrder>;

/// Which machines a lookup accepts, by the state of the job's image.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ImageFilter {
    /// Any machine.
    Any,
    /// Machines that have the image or fetch it already.
    CachedOrFetching,
}

/// An entry that was taken out of the index since the machine does not fit a job's task;
/// [`CandidateIndex::restore`] puts it back.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SkippedCandidate {
    image_state: ImageState,
    image: ImageIdx,
    pool: usize,
    key: CandidateKey,
}

/// Schedulable machines by pool, image state and free CPUs.
#[derive(Debug, Default)]
pub(crate) struct CandidateIndex {
    pools: Vec<MachinePool>,
    /// The pool of each machine, by the machine's position; `None` if it is no candidate.
    pool_of: Vec<Option<usize>>,
    /// Machines that take nothing more in this cycle.
    reserved: BTreeSet<usize>,
    /// Machines that fetch nothing.
    network_idle: PoolOrders,
    /// Machines that fetch an image.
    network_busy: PoolOrders,
    /// Machines that have an image.
    cached: HashMap<ImageIdx, PoolOrders>,
    /// Machines that have an image or fetch it.
    cached_or_fetching: HashMap<ImageIdx, PoolOrders>,
    /// How many machines and pools were examined.
    examined: u64,
}

impl CandidateIndex {
    /// An index for placing these jobs.
    pub fn new<'a>(
        machines: &[SchedulableMachine],
        jobs: impl Iterator<Item = &'a SchedulableJob>,
    ) -> CandidateIndex {
        let (mut images, mut min_request) = (BTreeSet::new(), None::<Resources>);
        for job in jobs {
            images.insert(job.image);
            let known = min_request.unwrap_or(job.task_request);
            min_request = Some(known.component_min(job.task_request));
        }
        let Some(min_request) = min_request else { return CandidateIndex::default() };
        let mut index = CandidateIndex::default();
        index.assign_pools(machines, min_request);
        index.create_orders(&images);
        for (position, machine) in machines.iter().enumerate() {
            index.insert(position, machine);
        }
        index
    }

    /// Finds the pool of each machine that could take the smallest task. Gangs, which alone
    /// may use the warm pool, don't use this index.
    fn assign_pools(&mut self, machines: &[SchedulableMachine], min_request: Resources) {
        self.pool_of = vec![None; machines.len()];
        let mut pool_positions: BTreeMap<MachinePool, usize> = BTreeMap::new();
        for (position, machine) in machines.iter().enumerate() {
            if !machine.schedulable || machine.warm_pool || !min_request.fits_in(machine.free) {
                continue;
            }
            let pool = MachinePool {
                machine_type: machine.machine_type,
                zone: machine.zone,
                spot: machine.spot,
            };
            let pool_position = *pool_positions.entry(pool).or_insert_with(|| {
                self.pools.push(pool);
                self.pools.len() - 1
            });
            self.pool_of[position] = Some(pool_position);
        }
    }

    fn create_orders(&mut self, images: &BTreeSet<ImageIdx>) {
        let empty = vec![FreeCpuOrder::new(); self.pools.len()];
        for image in images {
            self.cached.insert(*image, empty.clone());
            self.cached_or_fetching.insert(*image, empty.clone());
        }
        self.network_idle = empty.clone();
        self.network_busy = empty;
    }

    fn insert(&mut self, position: usize, machine: &SchedulableMachine) {
        let Some(pool) = self.pool_of[position] else { return };
        let key = CandidateKey::new(machine.free, position);
        let orders = if machine.fetching { &mut self.network_busy } else { &mut self.network_idle };
        orders[pool].insert(key);
        for image in &machine.cached_images {
            if let Some(orders) = self.cached.get_mut(image) {
                orders[pool].insert(key);
            }
        }
        for image in &machine.cached_or_fetching {
            if let Some(orders) = self.cached_or_fetching.get_mut(image) {
                orders[pool].insert(key);
            }
        }
    }

    /// How many machines and pools were examined so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Counts a machine that was examined without the index.
    pub fn count_examined(&mut self) {
        self.examined += 1;
    }

    fn orders(&mut self, state: ImageState, image: ImageIdx) -> Option<&mut PoolOrders> {
        match state {
            ImageState::Cached => self.cached.get_mut(&image),
            ImageState::Fetching => self.cached_or_fetching.get_mut(&image),
            ImageState::AbsentNetworkIdle => Some(&mut self.network_idle),
            ImageState::AbsentNetworkBusy => Some(&mut self.network_busy),
        }
    }

    /// The position of the machine for a job's next task: the one where the image is ready
    /// soonest; among these a spot machine, which is cheaper; then the fullest, so that whole
    /// machines stay free for large tasks or can be scaled in.
    ///
    /// Machines on the way that do not fit the task are taken out and added to `skipped`, so
    /// that the job's further tasks don't examine them again. The caller gives them to
    /// [`CandidateIndex::restore`] before it looks for another job.
    pub fn find_best(
        &mut self,
        job: &SchedulableJob,
        machines: &[SchedulableMachine],
        filter: ImageFilter,
        skipped: &mut Vec<SkippedCandidate>,
    ) -> Option<usize> {
        for state in accepted_image_states(job, filter) {
            for spot in [true, false] {
                let best = self.fullest_fitting(job, machines, *state, spot, skipped);
                if best.is_some() {
                    return best;
                }
            }
        }
        None
    }

    /// The fullest machine that fits the job's task, over all pools that the job may use.
    fn fullest_fitting(
        &mut self,
        job: &SchedulableJob,
        machines: &[SchedulableMachine],
        image_state: ImageState,
        spot: bool,
        skipped: &mut Vec<SkippedCandidate>,
    ) -> Option<usize> {
        let skipped_before = skipped.len();
        let mut best: Option<CandidateKey> = None;
        for pool in 0..self.pools.len() {
            let MachinePool { machine_type, zone, spot: pool_is_spot } = self.pools[pool];
            if pool_is_spot != spot || !job.may_use(machine_type, zone, spot) {
                continue;
            }
            self.examined += 1;
            let Some(orders) = self.orders(image_state, job.image) else { continue };
            let order = &mut orders[pool];
            let min_key = CandidateKey { free_cpus: job.task_request.cpus, machine: 0 };
            while let Some(key) = order.range(min_key..).next().copied() {
                if best.is_some_and(|best| best <= key) {
                    break;
                }
                if job.task_request.fits_in(machines[key.machine as usize].free) {
                    best = Some(key);
                    break;
                }
                order.remove(&key);
                skipped.push(SkippedCandidate { image_state, image: job.image, pool, key });
            }
        }
        self.examined += (skipped.len() - skipped_before) as u64;
        best.map(|key| key.machine as usize)
    }

    /// Puts machines back that were skipped for one job.
    pub fn restore(&mut self, skipped: Vec<SkippedCandidate>) {
        for SkippedCandidate { image_state, image, pool, key } in skipped {
            if let Some(orders) = self.orders(image_state, image) {
                orders[pool].insert(key);
            }
        }
    }

    /// Whether [`CandidateIndex::reserve`] was called for the machine.
    pub fn is_reserved(&self, machine: usize) -> bool {
        self.reserved.contains(&machine)
    }

    /// Keeps a machine from all further tasks of this cycle.
    pub fn reserve(&mut self, position: usize, machine: &SchedulableMachine) {
        self.reserved.insert(position);
        let Some(pool) = self.pool_of.get_mut(position).and_then(Option::take) else { return };
        let key = CandidateKey::new(machine.free, position);
        let image_orders = self.cached.values_mut().chain(self.cached_or_fetching.values_mut());
        let network_orders = [&mut self.network_idle, &mut self.network_busy];
        for orders in image_orders.chain(network_orders) {
            orders[pool].remove(&key);
        }
    }

    /// Notes that a machine begins to fetch an image; `free` is what is free before the task
    /// that needs the image is counted.
    pub fn fetch_started(&mut self, position: usize, free: Resources, image: ImageIdx) {
        let Some(pool) = self.pool_of.get(position).copied().flatten() else { return };
        let key = CandidateKey::new(free, position);
        if let Some(orders) = self.cached_or_fetching.get_mut(&image) {
            orders[pool].insert(key);
        }
        if self.network_idle[pool].remove(&key) {
            self.network_busy[pool].insert(key);
        }
    }

    /// Notes that a machine's free resources have changed.
    pub fn free_changed(
        &mut self,
        position: usize,
        machine: &SchedulableMachine,
        free_before: Resources,
    ) {
        let Some(pool) = self.pool_of.get(position).copied().flatten() else { return };
        let old_key = CandidateKey::new(free_before, position);
        let new_key = CandidateKey::new(machine.free, position);
        let update = |orders: &mut PoolOrders| {
            if orders[pool].remove(&old_key) {
                orders[pool].insert(new_key);
            }
        };
        update(&mut self.network_idle);
        update(&mut self.network_busy);
        for image in &machine.cached_images {
            self.cached.get_mut(image).map(update);
        }
        for image in &machine.cached_or_fetching {
            self.cached_or_fetching.get_mut(image).map(update);
        }
    }
}

/// The image states that a job accepts, the best first.
fn accepted_image_states(job: &SchedulableJob, filter: ImageFilter) -> &'static [ImageState] {
    use ImageState::{AbsentNetworkBusy, AbsentNetworkIdle, Cached, Fetching};
    match filter {
        _ if job.requires_cached_image => &[Cached],
        ImageFilter::CachedOrFetching => &[Cached, Fetching],
        ImageFilter::Any => &[Cached, Fetching, AbsentNetworkIdle, AbsentNetworkBusy],
    }
}
