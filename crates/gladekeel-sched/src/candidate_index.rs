//! An index that finds the machine for a task without examining every machine.
//!
//! [`CandidateIndex`] groups the schedulable machines by pool (type, zone, spot or on demand) and
//! by the state of each image that a job needs, and sorts each group by free CPUs. The index is
//! built once per cycle; [`cycle`](crate::cycle) reports each binding to the index, which
//! therefore always matches the machines of the cycle.

use crate::snapshot::{ImageState, SchedulableJob, SchedulableMachine};
use crate::{ImageIdx, MachineTypeIdx, Resources, ZoneIdx};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A pool of machines that have the same type, zone and purchase model, so that a job's constraints
/// allow either all machines of the pool or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MachinePool {
    machine_type: MachineTypeIdx,
    zone: ZoneIdx,
    spot: bool,
}

/// The sort key of a machine in [`MachinesByFreeCpus`]: the machine with the fewest free CPUs comes
/// first, and machines with equally many are sorted by position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateKey {
    /// Free CPUs, in thousandths.
    free_cpus: i64,
    /// Position of the machine in the cycle's list of machines.
    machine: u32,
}

impl CandidateKey {
    fn new(free: Resources, machine: usize) -> CandidateKey {
        CandidateKey { free_cpus: free.cpus, machine: machine as u32 }
    }
}

/// Machines of one pool, sorted by ascending free CPUs.
type MachinesByFreeCpus = BTreeSet<CandidateKey>;

/// For each pool, its machines sorted by free CPUs; indexed by the pool's position in
/// [`CandidateIndex::pools`].
type MachinesByPool = Vec<MachinesByFreeCpus>;

/// Which machines a lookup accepts, by the state of the job's image.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ImageFilter {
    /// Any machine.
    Any,
    /// Machines that have the image or are already fetching it.
    CachedOrFetching,
}

/// An entry that was removed from the index because a job's task does not fit on the machine;
/// [`CandidateIndex::restore`] puts the entry back.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SkippedCandidate {
    image_state: ImageState,
    image: ImageIdx,
    pool: usize,
    key: CandidateKey,
}

/// Schedulable machines, indexed by image state, pool and free CPUs.
#[derive(Debug, Default)]
pub(crate) struct CandidateIndex {
    /// The pools that have at least one candidate.
    pools: Vec<MachinePool>,
    /// For each machine, by the machine's position, the position of its pool in `pools`; `None` if
    /// the machine is not a candidate.
    pool_of: Vec<Option<usize>>,
    /// Positions of the reserved machines, which take no further tasks in this cycle.
    reserved: BTreeSet<usize>,
    /// Machines that are not fetching any image.
    network_idle: MachinesByPool,
    /// Machines that are fetching an image.
    network_busy: MachinesByPool,
    /// For each image, the machines that have it in their cache.
    cached: HashMap<ImageIdx, MachinesByPool>,
    /// For each image, the machines that have it in their cache or are fetching it.
    cached_or_fetching: HashMap<ImageIdx, MachinesByPool>,
    /// How many times a machine or pool was examined.
    examined: u64,
}

impl CandidateIndex {
    /// Builds an index of `machines` for the placement of the tasks of `jobs`.
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
        index.create_sets(&images);
        for (position, machine) in machines.iter().enumerate() {
            index.insert(position, machine);
        }
        index
    }

    /// Assigns a pool to each machine that could take the smallest task. Machines of the warm pool
    /// are assigned to no pool of the index: only gangs may use the warm pool, and gangs are placed
    /// without this index.
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

    /// Creates empty sets of machines: for each pool, two sets per image and one per network state.
    fn create_sets(&mut self, images: &BTreeSet<ImageIdx>) {
        let empty = vec![MachinesByFreeCpus::new(); self.pools.len()];
        for image in images {
            self.cached.insert(*image, empty.clone());
            self.cached_or_fetching.insert(*image, empty.clone());
        }
        self.network_idle = empty.clone();
        self.network_busy = empty;
    }

    /// Adds a machine to the sets for its network state and for the images that it has or is
    /// fetching.
    fn insert(&mut self, position: usize, machine: &SchedulableMachine) {
        let Some(pool) = self.pool_of[position] else { return };
        let key = CandidateKey::new(machine.free, position);
        let by_pool =
            if machine.fetching { &mut self.network_busy } else { &mut self.network_idle };
        by_pool[pool].insert(key);
        for image in &machine.cached_images {
            if let Some(by_pool) = self.cached.get_mut(image) {
                by_pool[pool].insert(key);
            }
        }
        for image in &machine.cached_or_fetching {
            if let Some(by_pool) = self.cached_or_fetching.get_mut(image) {
                by_pool[pool].insert(key);
            }
        }
    }

    /// Returns how many times a machine or pool was examined so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Counts a machine that was examined without the index.
    pub fn count_examined(&mut self) {
        self.examined += 1;
    }

    /// Returns the machines on which the image is in this state, by pool; `None` if the image is
    /// not indexed. [`ImageState::Fetching`] also returns machines that have the image, and the
    /// absent states return all machines in that network state, whatever images they have.
    fn machines_by_pool(
        &mut self,
        state: ImageState,
        image: ImageIdx,
    ) -> Option<&mut MachinesByPool> {
        match state {
            ImageState::Cached => self.cached.get_mut(&image),
            ImageState::Fetching => self.cached_or_fetching.get_mut(&image),
            ImageState::AbsentNetworkIdle => Some(&mut self.network_idle),
            ImageState::AbsentNetworkBusy => Some(&mut self.network_busy),
        }
    }

    /// Returns the position of the best machine for a job's next task. Machines where the image is
    /// ready soonest come first, then spot machines, which are cheaper, and then the fullest
    /// machines, so that whole machines stay free for large tasks or can be scaled in.
    ///
    /// Examined machines on which the task does not fit are removed from the index and added to
    /// `skipped`, so that they are not examined again for further tasks of the same job. The caller
    /// must pass `skipped` to [`CandidateIndex::restore`] before it looks up another job.
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

    /// Returns the fullest machine on which the job's task fits, among all spot pools or all
    /// on-demand pools that the job may use.
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
            let Some(by_pool) = self.machines_by_pool(image_state, job.image) else { continue };
            let candidates = &mut by_pool[pool];
            let min_key = CandidateKey { free_cpus: job.task_request.cpus, machine: 0 };
            while let Some(key) = candidates.range(min_key..).next().copied() {
                if best.is_some_and(|best| best <= key) {
                    break;
                }
                if job.task_request.fits_in(machines[key.machine as usize].free) {
                    best = Some(key);
                    break;
                }
                candidates.remove(&key);
                skipped.push(SkippedCandidate { image_state, image: job.image, pool, key });
            }
        }
        self.examined += (skipped.len() - skipped_before) as u64;
        best.map(|key| key.machine as usize)
    }

    /// Puts back the entries that [`CandidateIndex::find_best`] skipped for one job.
    pub fn restore(&mut self, skipped: Vec<SkippedCandidate>) {
        for SkippedCandidate { image_state, image, pool, key } in skipped {
            if let Some(by_pool) = self.machines_by_pool(image_state, image) {
                by_pool[pool].insert(key);
            }
        }
    }

    /// Whether [`CandidateIndex::reserve`] was called for the machine.
    pub fn is_reserved(&self, machine: usize) -> bool {
        self.reserved.contains(&machine)
    }

    /// Reserves a machine: no further task is bound to it in this cycle.
    pub fn reserve(&mut self, position: usize, machine: &SchedulableMachine) {
        self.reserved.insert(position);
        let Some(pool) = self.pool_of.get_mut(position).and_then(Option::take) else { return };
        let key = CandidateKey::new(machine.free, position);
        let by_image = self.cached.values_mut().chain(self.cached_or_fetching.values_mut());
        let by_network_state = [&mut self.network_idle, &mut self.network_busy];
        for by_pool in by_image.chain(by_network_state) {
            by_pool[pool].remove(&key);
        }
    }

    /// Records that a machine starts to fetch an image. `free` holds the machine's free resources
    /// before the task that needs the image was bound.
    pub fn record_fetch_started(&mut self, position: usize, free: Resources, image: ImageIdx) {
        let Some(pool) = self.pool_of.get(position).copied().flatten() else { return };
        let key = CandidateKey::new(free, position);
        if let Some(by_pool) = self.cached_or_fetching.get_mut(&image) {
            by_pool[pool].insert(key);
        }
        if self.network_idle[pool].remove(&key) {
            self.network_busy[pool].insert(key);
        }
    }

    /// Records that a machine's free resources have changed from `free_before`.
    pub fn record_free_change(
        &mut self,
        position: usize,
        machine: &SchedulableMachine,
        free_before: Resources,
    ) {
        let Some(pool) = self.pool_of.get(position).copied().flatten() else { return };
        let old_key = CandidateKey::new(free_before, position);
        let new_key = CandidateKey::new(machine.free, position);
        let update = |by_pool: &mut MachinesByPool| {
            if by_pool[pool].remove(&old_key) {
                by_pool[pool].insert(new_key);
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

/// Returns the image states that a job and a filter accept, the preferred ones first.
fn accepted_image_states(job: &SchedulableJob, filter: ImageFilter) -> &'static [ImageState] {
    use ImageState::{AbsentNetworkBusy, AbsentNetworkIdle, Cached, Fetching};
    match filter {
        _ if job.requires_cached_image => &[Cached],
        ImageFilter::CachedOrFetching => &[Cached, Fetching],
        ImageFilter::Any => &[Cached, Fetching, AbsentNetworkIdle, AbsentNetworkBusy],
    }
}
