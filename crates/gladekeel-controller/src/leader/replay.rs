//! Rebuilding what is on which machine from the log, when a node begins to lead.

use super::{Attempt, Leader, Machine, Phase, StopReason, attempt::Outcome};
use crate::log;
use std::collections::{BTreeMap, HashMap, HashSet};

impl Leader {
    /// Replays the log, oldest segment first.
    pub(super) fn replay(&mut self, segments: Vec<(u32, u64, log::Segment)>, now: f64) {
        let mut live: BTreeMap<u64, (log::Assigned, u64)> = BTreeMap::new();
        for (slot, version, segment) in segments {
            let (mut attempts, mut chunks) = (Vec::new(), Vec::new());
            // Jobs that are not in the store any more are over, with all of their tasks.
            for progress in segment.progress {
                let Some(ix) = self.job_names.get(&progress.job) else { continue };
                let Some(job) = self.jobs.get_mut(&ix) else { continue };
                job.done.add_chunk(progress.chunk, &progress.done, job.spec.tasks);
                job.restarted.add_chunk(progress.chunk, &progress.restarted, job.spec.tasks);
                job.progress_segment.insert(progress.chunk, segment.seq);
                chunks.push((ix, progress.chunk));
            }
            for assigned in segment.assigned {
                attempts.push(assigned.attempt);
                live.insert(assigned.attempt, (assigned, segment.seq));
            }
            for released in segment.released {
                live.remove(&released.attempt);
                let Some(ix) = self.job_names.get(&released.job) else { continue };
                let Some(job) = self.jobs.get_mut(&ix) else { continue };
                let bits = match released.end {
                    Outcome::Done => &mut job.done,
                    Outcome::Restart => &mut job.restarted,
                    Outcome::Again => continue,
                };
                if released.index < job.spec.tasks {
                    bits.add(released.index);
                    chunks.push((ix, released.index / crate::keys::CHUNK));
                }
            }
            self.commits.add_segment(slot, version, segment.seq, attempts, chunks);
        }
        let mut assigned: HashMap<u32, HashSet<u32>> = HashMap::new();
        for (id, (row, seq)) in live {
            let Some(ix) = self.job_names.get(&row.job).filter(|ix| self.jobs.contains_key(ix))
            else {
                // Jobs are cleared only after their last attempt was released.
                tracing::error!(job = %row.job, machine = row.machine, "attempt of a job that is not in the store");
                continue;
            };
            assigned.entry(ix).or_default().insert(row.index);
            self.restore(now, ix, id, row, seq);
        }
        let mut ended = Vec::new();
        let mut broken = Vec::new();
        for (ix, job) in &mut self.jobs {
            if job.is_gang() && job.done.count() > 0 {
                // One of a gang's tasks tells of all: they complete together.
                (0..job.spec.tasks).for_each(|index| _ = job.done.add(index));
            }
            let there = assigned.get(ix);
            let none_on_machines = self.attempts.of_job(*ix).is_empty();
            job.pending
                .retain(|at| !job.done.has(*at) && !there.is_some_and(|set| set.contains(at)));
            if job.done.count() == job.spec.tasks && job.final_state.is_none() {
                self.commits.finished.insert(*ix);
            }
            if job.final_state.is_some() && !none_on_machines {
                self.commits.cleared.remove(ix);
            }
            if job.is_gang() && !job.over() && !none_on_machines && !job.pending.is_empty() {
                // Part of it was committed when its leader ended, or a task of it is gone
                // already. It begins anew as a whole.
                broken.push(*ix);
            }
            for id in self.attempts.ids_of_job(*ix) {
                self.attempts.update(id, |attempt| {
                    if job.done.has(attempt.index) && !job.is_gang() {
                        // Its finish was stored upon a report of its exit: that is the proof.
                        ended.push(id);
                    } else if job.cancelled() {
                        attempt.stop = Some(StopReason::Cancelled);
                        self.ending.insert(*ix);
                    }
                });
            }
        }
        for id in ended {
            self.release(id, Outcome::Done);
        }
        for ix in broken {
            self.stop_gang(ix, StopReason::Regroup);
        }
        self.reclaim();
    }

    fn restore(&mut self, now: f64, job_ix: u32, id: u64, row: log::Assigned, seq: u64) {
        let machine_ix = self.cluster.machine_names.intern(&row.machine);
        let machine = self
            .cluster
            .machines
            .entry(machine_ix)
            .or_insert_with(|| Machine::restored(&row.machine, now));
        let Some(job) = self.jobs.get_mut(&job_ix) else { return };
        machine.attempts.insert(id);
        machine.used += job.room;
        machine.used_image(job.image, job.spec.image_gb, f64::INFINITY);
        job.count_zone(machine.zone, 1);
        self.teams[job.team as usize].used += job.room;
        self.attempts.insert(
            id,
            Attempt {
                job: job_ix,
                index: row.index,
                machine: machine_ix,
                zone: machine.zone,
                session: row.session,
                phase: Phase::Live,
                seen: None,
                run_since: None,
                stop: None,
                stop_sent: 0,
                sent: true,
                room: job.room,
                image: job.image,
                restored: true,
                logged: seq,
            },
        );
    }
}
