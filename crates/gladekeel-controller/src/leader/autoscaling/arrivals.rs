//! Arrival rates: the work of each class of jobs that has arrived of late, from which the
//! autoscaler extrapolates.

use crate::leader::Leader;
use gladekeel_sched::{JobIdx, MachineTypeIdx, autoscaling::ArrivalRate};
use std::collections::BTreeMap;

/// Time constant with which the work that has arrived decays.
const ARRIVAL_DECAY_S: f64 = 60.0;
/// Least machine-seconds that the mean due time of a class is divided by.
const MIN_WORK: f64 = 1e-9;

/// Jobs of one class, as users name it, that run on one machine type.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ArrivalClass {
    pub machine_type: MachineTypeIdx,
    pub class: String,
}

/// Work of a class that has arrived, the older the less it counts.
#[derive(Debug, Clone, Copy, Default)]
struct ArrivedWork {
    machine_seconds: f64,
    /// Mean time from submission until the work is due, weighted by work.
    due_s: f64,
}

/// The work that has arrived, by class.
#[derive(Debug, Default)]
pub(super) struct ArrivalHistory {
    by_class: BTreeMap<ArrivalClass, ArrivedWork>,
    decayed_at: f64,
}

impl ArrivalHistory {
    /// Lets the work that has arrived decay until now.
    pub fn decay(&mut self, now: f64) {
        let weight = (-(now - self.decayed_at).max(0.0) / ARRIVAL_DECAY_S).exp();
        self.decayed_at = now;
        self.by_class.values_mut().for_each(|arrived| arrived.machine_seconds *= weight);
    }

    /// Adds work, in machine-seconds, that is due so many seconds after its submission.
    fn add(&mut self, class: ArrivalClass, work: f64, due_s: f64) {
        let arrived = self.by_class.entry(class).or_default();
        let total = (arrived.machine_seconds + work).max(MIN_WORK);
        arrived.due_s += (due_s - arrived.due_s) * work / total;
        arrived.machine_seconds = total;
    }

    /// The arrival rates of a machine type's classes.
    pub fn rates(&self, machine_type_idx: MachineTypeIdx) -> Vec<ArrivalRate> {
        let of_type = self.by_class.iter().filter(|(c, _)| c.machine_type == machine_type_idx);
        of_type
            .map(|(_, arrived)| ArrivalRate {
                machines: arrived.machine_seconds / ARRIVAL_DECAY_S,
                due_s: arrived.due_s,
            })
            .collect()
    }
}

impl Leader {
    /// Counts a job that was just submitted. Called by reconciliation.
    pub(in crate::leader) fn count_arrival(&mut self, job_idx: JobIdx) {
        let Some(job) = self.jobs.get(&job_idx) else { return };
        let Some(fit) = self.cheapest_fit(job) else { return };
        let run_s = self.expected_run_s(job);
        let work = f64::from(job.spec.tasks) / f64::from(fit.tasks_per_machine) * run_s;
        let due_s = job.time_allowed_s(&self.deployment, run_s);
        let class = ArrivalClass { machine_type: fit.machine_type, class: job.spec.class.clone() };
        self.cluster.autoscaler.arrivals.add(class, work, due_s);
        self.count_gang_arrival(job_idx, fit, work);
    }
}
