//! What is stopped to make room for those with a better claim.

use crate::{
    Room,
    place::{Job, Round, Team},
};
use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
};

/// A task on a machine that could be stopped for another.
#[derive(Debug, Clone, Copy)]
pub struct Victim {
    /// Whose it is, for the caller.
    pub id: u64,
    /// The machine, as an index into the round's machines.
    pub machine: usize,
    /// Its team.
    pub team: u32,
    /// Its priority.
    pub priority: u8,
    /// What it takes.
    pub task: Room,
    /// Work that stopping it would lose, in CPU-seconds.
    pub loss: f64,
    /// Whether it saves its progress.
    pub saves: bool,
}

/// Tasks that could be stopped, by machine.
#[derive(Debug, Clone)]
pub struct Victims(Vec<Vec<Victim>>);

/// What making room for a task costs on a machine: work lost, and how many of the
/// machine's victims are stopped.
type Offer = (f64, Vec<u64>);

impl Victims {
    /// Groups victims by machine, those that lose least first.
    pub fn new(machines: usize, victims: impl IntoIterator<Item = Victim>) -> Victims {
        let mut groups = vec![Vec::new(); machines];
        for victim in victims {
            groups[victim.machine].push(victim);
        }
        for group in &mut groups {
            group.sort_by(|a: &Victim, b| a.loss.total_cmp(&b.loss).then(a.id.cmp(&b.id)));
        }
        Victims(groups)
    }

    /// Chooses tasks to stop for up to `most` waiting tasks of a job, and returns
    /// them; `saving` takes only ones that save their progress. The round counts
    /// their room as the job's from then on.
    ///
    /// A victim has a lower priority, or belongs to another team that runs beyond
    /// its guarantee while the claimant stays within its own. Machines where least
    /// work is lost come first.
    pub fn stop_for(
        &mut self,
        round: &mut Round,
        index: usize,
        most: usize,
        saving: bool,
    ) -> Vec<u64> {
        let job = round.jobs[index].clone();
        let mut heap: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
        // Losses are never negative, so that their bits are in their order.
        for machine in 0..round.machines.len() {
            if let Some((loss, _)) = self.offer(round, &job, machine, saving) {
                heap.push(Reverse((loss.to_bits(), machine)));
            }
        }
        let mut stopped = Vec::new();
        while round.jobs[index].pending > 0
            && stopped.len() < most
            && let Some(Reverse((known, machine))) = heap.pop()
        {
            // Uses of teams have changed since; what an offer costs may have too.
            let Some((loss, ids)) = self.offer(round, &job, machine, saving) else { continue };
            if loss.to_bits() > known {
                heap.push(Reverse((loss.to_bits(), machine)));
                continue;
            }
            let group = &mut self.0[machine];
            for victim in group.iter().filter(|victim| ids.contains(&victim.id)) {
                round.machines[machine].free += victim.task;
                round.teams[victim.team as usize].used -= victim.task;
            }
            group.retain(|victim| !ids.contains(&victim.id));
            round.machines[machine].free -= job.task;
            round.teams[job.team as usize].used += job.task;
            round.jobs[index].pending -= 1;
            stopped.extend(ids);
            if let Some((loss, _)) = self.offer(round, &job, machine, saving) {
                heap.push(Reverse((loss.to_bits(), machine)));
            }
        }
        stopped
    }

    /// The same for a whole gang, together with what is free, or nothing: half of the
    /// room would help nobody. Machines that have its image come before others.
    pub fn stop_for_gang(
        &mut self,
        round: &mut Round,
        index: usize,
        most: usize,
        saving: bool,
    ) -> Vec<u64> {
        let zones: BTreeSet<u32> = round.machines.iter().map(|machine| machine.zone).collect();
        let only = |zone: u32| Some(zone);
        let tries: Vec<Option<u32>> = match round.jobs[index].one_zone {
            true => zones.into_iter().map(only).collect(),
            false => vec![round.jobs[index].zone],
        };
        for ready in [true, false] {
            for zone in &tries {
                let (mut round_then, mut victims_then) = (round.clone(), self.clone());
                let job = &mut round_then.jobs[index];
                if job.zone.is_some_and(|own| Some(own) != *zone) {
                    continue;
                }
                let before = (job.zone, job.hurried);
                (job.zone, job.hurried) = (*zone, ready);
                round_then.take_free(index);
                let stopped = victims_then.stop_for(&mut round_then, index, most, saving);
                if round_then.jobs[index].pending == 0 {
                    let job = &mut round_then.jobs[index];
                    (job.zone, job.hurried) = before;
                    (*round, *self) = (round_then, victims_then);
                    return stopped;
                }
            }
        }
        Vec::new()
    }

    fn offer(&self, round: &Round, job: &Job, at: usize, saving: bool) -> Option<Offer> {
        let machine = &round.machines[at];
        let team: &Team = &round.teams[job.team as usize];
        if !machine.open
            || (machine.standby && !job.gang)
            || self.0[at].is_empty()
            || !team.allows(job.task)
            || !job.task.fits(machine.whole)
            || (job.hurried && !machine.ready.contains(&job.image))
            || !job.may_use(machine.kind, machine.zone, machine.spot)
        {
            return None;
        }
        let claims_guarantee = team.guarantees(job.task);
        let (mut free, mut loss, mut ids) = (machine.free, 0.0, Vec::new());
        for victim in &self.0[at] {
            if job.task.fits(free) {
                break;
            }
            let borrowed = claims_guarantee
                && victim.team != job.team
                && round.teams[victim.team as usize].borrows();
            if (victim.saves || !saving) && (victim.priority < job.priority || borrowed) {
                free += victim.task;
                loss += victim.loss;
                ids.push(victim.id);
            }
        }
        (job.task.fits(free) && !ids.is_empty()).then_some((loss, ids))
    }
}
