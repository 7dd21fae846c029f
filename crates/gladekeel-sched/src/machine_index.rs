//! Finding the machine for a task without looking at all of them.

use crate::{ImageIdx, MachineTypeIdx, ZoneIdx};
use crate::{
    Resources,
    cycle::{SchedulableJob, SchedulableMachine},
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Machines of one type and zone, spot or not: a job's rules allow all of them or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    kind: MachineTypeIdx,
    zone: ZoneIdx,
    spot: bool,
}

/// Machines by free CPUs, fullest first.
type Row = BTreeSet<(i64, u32)>;

/// One row a group.
type Rows = Vec<Row>;

/// Which rows a machine was taken from while it does not fit: the image's state, image, group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Skipped {
    state: ImageState,
    image: ImageIdx,
    group: usize,
    key: (i64, u32),
}

/// Whether a machine has an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ImageState {
    /// It has, and starts at once.
    Ready,
    /// It fetches it already.
    Fetching,
    /// It has to fetch it, and fetches nothing else.
    Absent,
    /// It has to fetch it, and shares the rate with another fetch.
    AbsentBusy,
}

/// Open machines by group and image.
#[derive(Debug, Default)]
pub(crate) struct MachineIndex {
    groups: Vec<Group>,
    group_of: Vec<Option<usize>>,
    closed: BTreeSet<usize>,
    calm: Rows,
    busy: Rows,
    /// Machines that were looked at.
    pub machines_examined: u64,
    ready: HashMap<ImageIdx, Rows>,
    begun: HashMap<ImageIdx, Rows>,
}

impl MachineIndex {
    /// An index for placing these jobs.
    pub fn new<'a>(
        machines: &[SchedulableMachine],
        jobs: impl Iterator<Item = &'a SchedulableJob>,
    ) -> MachineIndex {
        let (mut wanted, mut least) = (BTreeSet::new(), None::<Resources>);
        for job in jobs {
            wanted.insert(job.image);
            let least = least.get_or_insert(job.task_request);
            least.cpus = least.cpus.min(job.task_request.cpus);
            least.gpus = least.gpus.min(job.task_request.gpus);
            least.memory = least.memory.min(job.task_request.memory);
        }
        let Some(least) = least else { return MachineIndex::default() };
        let mut numbers: BTreeMap<Group, usize> = BTreeMap::new();
        let mut index =
            MachineIndex { group_of: vec![None; machines.len()], ..MachineIndex::default() };
        for (at, machine) in machines.iter().enumerate() {
            // What cannot take the smallest task takes none. Gangs do not come here.
            if !machine.schedulable || machine.warm_pool || !least.fits_in(machine.free) {
                continue;
            }
            let group =
                Group { kind: machine.machine_type, zone: machine.zone, spot: machine.spot };
            let number = *numbers.entry(group).or_insert_with(|| {
                index.groups.push(group);
                index.groups.len() - 1
            });
            index.group_of[at] = Some(number);
        }
        let empty = vec![Row::new(); index.groups.len()];
        (index.calm, index.busy) = (empty.clone(), empty.clone());
        for image in wanted {
            index.ready.insert(image, empty.clone());
            index.begun.insert(image, empty.clone());
        }
        for (at, machine) in machines.iter().enumerate() {
            let Some(group) = index.group_of[at] else { continue };
            let key = (machine.free.cpus, at as u32);
            let rows = if machine.fetching { &mut index.busy } else { &mut index.calm };
            rows[group].insert(key);
            for (rows, images) in [
                (&mut index.ready, &machine.cached_images),
                (&mut index.begun, &machine.cached_or_fetching),
            ] {
                for image in images {
                    if let Some(rows) = rows.get_mut(image) {
                        rows[group].insert(key);
                    }
                }
            }
        }
        index
    }

    fn rows(&mut self, state: ImageState, image: ImageIdx) -> Option<&mut Rows> {
        match state {
            ImageState::Ready => self.ready.get_mut(&image),
            ImageState::Fetching => self.begun.get_mut(&image),
            ImageState::Absent => Some(&mut self.calm),
            ImageState::AbsentBusy => Some(&mut self.busy),
        }
    }

    /// The machine for a job's next task. One that has the image starts at once, and one
    /// that fetches nothing else starts sooner; then comes the cheap kind; then the fullest,
    /// so that whole machines stay free for large pieces or can be returned. Machines on the
    /// way that do not fit the task are skipped; they go back by [`MachineIndex::restore`]. With
    /// `cached` only machines that have the image or fetch it will do.
    pub fn best(
        &mut self,
        job: &SchedulableJob,
        machines: &[SchedulableMachine],
        cached: bool,
        skipped: &mut Vec<Skipped>,
    ) -> Option<usize> {
        let mut skipped_now = 0;
        for state in
            [ImageState::Ready, ImageState::Fetching, ImageState::Absent, ImageState::AbsentBusy]
        {
            let has = matches!(state, ImageState::Ready | ImageState::Fetching);
            if (job.requires_cached_image && state != ImageState::Ready) || (cached && !has) {
                break;
            }
            for spot in [true, false] {
                let mut best: Option<(i64, u32)> = None;
                for number in 0..self.groups.len() {
                    let group = self.groups[number];
                    if group.spot != spot || !job.may_use(group.kind, group.zone, spot) {
                        continue;
                    }
                    self.machines_examined += 1;
                    let Some(rows) = self.rows(state, job.image) else { continue };
                    let row = &mut rows[number];
                    while let Some(key) = row.range((job.task_request.cpus, 0)..).next().copied() {
                        if best.is_some_and(|best| best <= key) {
                            break;
                        }
                        if job.task_request.fits_in(machines[key.1 as usize].free) {
                            best = Some(key);
                            break;
                        }
                        row.remove(&key);
                        skipped_now += 1;
                        skipped.push(Skipped { state, image: job.image, group: number, key });
                    }
                }
                self.machines_examined += std::mem::take(&mut skipped_now);
                if let Some((_, at)) = best {
                    return Some(at as usize);
                }
            }
        }
        None
    }

    /// Puts machines back that were skipped for one job.
    pub fn restore(&mut self, skipped: Vec<Skipped>) {
        for Skipped { state, image, group, key } in skipped {
            if let Some(rows) = self.rows(state, image) {
                rows[group].insert(key);
            }
        }
    }

    /// Whether a machine was closed.
    pub fn is_closed(&self, at: usize) -> bool {
        self.closed.contains(&at)
    }

    /// A machine takes nothing more.
    pub fn close(&mut self, at: usize, machine: &SchedulableMachine) {
        self.closed.insert(at);
        let Some(group) = self.group_of.get_mut(at).and_then(Option::take) else { return };
        let key = (machine.free.cpus, at as u32);
        let images = self.ready.values_mut().chain(self.begun.values_mut());
        for rows in images.chain([&mut self.calm, &mut self.busy]) {
            rows[group].remove(&key);
        }
    }

    /// A machine begins to fetch an image.
    pub fn begins_fetch(&mut self, at: usize, free: Resources, image: ImageIdx) {
        let Some(group) = self.group_of.get(at).copied().flatten() else { return };
        let key = (free.cpus, at as u32);
        if let Some(rows) = self.begun.get_mut(&image) {
            rows[group].insert(key);
        }
        if self.calm[group].remove(&key) {
            self.busy[group].insert(key);
        }
    }

    /// A machine's free room has changed.
    pub fn free_changed(&mut self, at: usize, machine: &SchedulableMachine, before: Resources) {
        let Some(group) = self.group_of.get(at).copied().flatten() else { return };
        let (old, new) = ((before.cpus, at as u32), (machine.free.cpus, at as u32));
        let mut update = |rows: &mut Rows| {
            if rows[group].remove(&old) {
                rows[group].insert(new);
            }
        };
        update(&mut self.calm);
        update(&mut self.busy);
        for image in &machine.cached_images {
            self.ready.get_mut(image).map(&mut update);
        }
        for image in &machine.cached_or_fetching {
            self.begun.get_mut(image).map(&mut update);
        }
    }
}
