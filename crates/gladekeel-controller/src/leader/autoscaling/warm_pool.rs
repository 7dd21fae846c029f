//! Machines that are kept for gangs.

use crate::leader::Leader;
use gladekeel_sched::{ImageIdx, JobIdx, MachineIdx, MachineTypeIdx, ZoneIdx};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// Gangs of a class as they came in the last minutes, in machines.
#[derive(Debug, Default)]
struct Gangs {
    /// Machine-seconds, old ones counting less and less.
    work: f64,
    /// The largest.
    largest: f64,
    /// When the first and the last one came.
    since: f64,
    at: f64,
    /// Their images.
    images: BTreeSet<ImageIdx>,
}

impl Gangs {
    /// Machines that they keep busy on average.
    fn busy(&self, now: f64) -> f64 {
        let faded = |seconds: f64| (-seconds.max(0.0) / GANGS_S).exp();
        // What has come for a short while tells of as short a while.
        let told_s = GANGS_S * (1.0 - faded((now - self.since).max(GANGS_S / 6.0)));
        self.work * faded(now - self.at) / told_s
    }
}

/// Gangs that should start at once, and the machines that are kept for them.
#[derive(Debug, Default)]
pub(in crate::leader) struct WarmPool {
    /// Gangs that came lately, by type and class.
    gangs: BTreeMap<(MachineTypeIdx, String), Gangs>,
    /// Ordinary machines to keep for them, by type.
    machines: BTreeMap<MachineTypeIdx, u32>,
}

impl WarmPool {
    /// How many ordinary machines of a type are to be kept.
    pub fn wanted(&self, kind: MachineTypeIdx) -> u32 {
        self.machines.get(&kind).copied().unwrap_or(0)
    }
}

/// Gangs that came within this time tell of what will come.
const GANGS_S: f64 = 180.0;
/// WarmPool for gangs, over what they keep busy on average: they come in clusters.
const STANDBY: f64 = 1.5;
/// So many more than that stay once they are kept.
const STANDBY_SPARE: usize = 2;
/// At most one in so many ordinary machines of a zone is kept for gangs.
const STANDBY_PART: usize = 3;

impl Leader {
    /// A gang has come: so much work, so many of whose tasks fit on a machine.
    pub(in crate::leader) fn count_gang(
        &mut self,
        ix: JobIdx,
        kind: MachineTypeIdx,
        work: f64,
        fits: u32,
    ) {
        let Some(job) = self.jobs.get(&ix).filter(|job| job.is_gang()) else { return };
        if job.has_start_objective(&self.deployment) {
            let (at, class) = (job.submitted_at, job.spec.class.clone());
            let image = job.image;
            let new = || Gangs { since: at, ..Gangs::default() };
            let gangs = self.cluster.warm_pool.gangs.entry((kind, class)).or_insert_with(new);
            gangs.images.insert(image);
            gangs.work = gangs.work * (-(at - gangs.at).max(0.0) / GANGS_S).exp() + work;
            gangs.largest = gangs.largest.max(f64::from(job.spec.tasks) / f64::from(fits));
            gangs.at = gangs.at.max(at);
        }
    }

    /// Keeps ordinary machines in each zone for gangs that should start at once: room for
    /// a whole gang would be late if it had to be gathered, and so would the image.
    pub(in crate::leader) fn maintain_warm_pool(&mut self, now: f64) {
        let standby = &mut self.cluster.warm_pool;
        standby.gangs.retain(|_, gangs| now - gangs.at < GANGS_S);
        let mut wanted: BTreeMap<MachineTypeIdx, (f64, f64)> = BTreeMap::new();
        let mut images: BTreeSet<ImageIdx> = BTreeSet::new();
        for ((kind, _), gangs) in &standby.gangs {
            let (busy, largest) = wanted.entry(*kind).or_default();
            *busy += gangs.busy(now);
            *largest = largest.max(gangs.largest);
            images.extend(&gangs.images);
        }
        standby.machines.clear();
        let mut pools: BTreeMap<(MachineTypeIdx, ZoneIdx), Vec<MachineIdx>> = BTreeMap::new();
        let machines = &mut self.cluster.machines;
        for (ix, machine) in &*machines {
            let (Some(kind), Some(zone)) = (machine.machine_type, machine.zone) else { continue };
            let usable = !machine.spot && !machine.is_leaving() && machine.liveness.was_seen();
            if usable && wanted.contains_key(&kind) {
                pools.entry((kind, zone)).or_default().push(*ix);
            }
        }
        let mut kept = BTreeSet::new();
        for ((kind, _), mut pool) in pools {
            let (busy, largest) = wanted[&kind];
            let count = (STANDBY * busy + largest).ceil() as usize + 1;
            let count = count.min(pool.len() / STANDBY_PART);
            // Those that were kept so far, then those that have the images, then the
            // emptiest. A few more than are needed stay: need goes up and down.
            let had = pool.iter().filter(|ix| machines[*ix].warm_pool).count();
            pool.sort_by_key(|ix| {
                let machine = &machines[ix];
                let ready = machine.images.cached().intersection(&images).count();
                (!machine.warm_pool, Reverse(ready), machine.requested().cpus)
            });
            let count = count.max(had.min(count + STANDBY_SPARE));
            kept.extend(pool.into_iter().take(count));
            *self.cluster.warm_pool.machines.entry(kind).or_default() += count as u32;
        }
        for (ix, machine) in machines {
            machine.warm_pool = kept.contains(ix);
        }
    }
}
