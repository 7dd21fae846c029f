//! Arrival rates: the recent work of each class of jobs, from which the autoscaler extrapolates
//! the work that is yet to arrive.

use crate::leader::Leader;
use gladekeel_sched::{JobIdx, MachineTypeIdx, autoscaling::ArrivalRate};
use std::collections::BTreeMap;

/// Time constant with which the weight of past arrivals decays, in seconds.
const ARRIVAL_DECAY_S: f64 = 60.0;
/// Minimum total work of a class, in machine-seconds. Avoids a division by zero when the mean due
/// time is updated.
const MIN_WORK: f64 = 1e-9;

/// A class of jobs, as named by users, and the machine type that its jobs are planned for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ArrivalClass {
    pub machine_type: MachineTypeIdx,
    pub class: String,
}

/// Work of a class that has arrived. The weight of work decays exponentially after its arrival.
#[derive(Debug, Clone, Copy, Default)]
struct ArrivedWork {
    machine_seconds: f64,
    /// Mean time from a job's submission until its work is due, in seconds, weighted by work.
    mean_due_s: f64,
}

/// The work that has arrived, by class.
#[derive(Debug, Default)]
pub(super) struct ArrivalHistory {
    by_class: BTreeMap<ArrivalClass, ArrivedWork>,
    /// Time up to which the decay has been applied to the work.
    decayed_at: f64,
}

impl ArrivalHistory {
    /// Applies the decay to the work that has arrived, for the time since the last call.
    pub fn decay(&mut self, now: f64) {
        let weight = (-(now - self.decayed_at).max(0.0) / ARRIVAL_DECAY_S).exp();
        self.decayed_at = now;
        self.by_class.values_mut().for_each(|arrived| arrived.machine_seconds *= weight);
    }

    /// Adds `work` machine-seconds that are due `due_s` seconds after their submission.
    fn add(&mut self, class: ArrivalClass, work: f64, due_s: f64) {
        let arrived = self.by_class.entry(class).or_default();
        let total = (arrived.machine_seconds + work).max(MIN_WORK);
        arrived.mean_due_s += (due_s - arrived.mean_due_s) * work / total;
        arrived.machine_seconds = total;
    }

    /// Returns the arrival rates of the classes on a machine type.
    pub fn rates(&self, machine_type_idx: MachineTypeIdx) -> Vec<ArrivalRate> {
        let of_type = self.by_class.iter().filter(|(c, _)| c.machine_type == machine_type_idx);
        of_type
            .map(|(_, arrived)| ArrivalRate {
                machines: arrived.machine_seconds / ARRIVAL_DECAY_S,
                due_s: arrived.mean_due_s,
            })
            .collect()
    }
}

impl Leader {
    /// Adds a job that was just submitted to the arrivals of its class. Called by reconciliation.
    pub(in crate::leader) fn record_arrival(&mut self, job_idx: JobIdx) {
        let Some(job) = self.jobs.get(&job_idx) else { return };
        let Some(fit) = self.cheapest_fit(job) else { return };
        let run_s = self.expected_run_s(job);
        let work = f64::from(job.spec.tasks) / f64::from(fit.tasks_per_machine) * run_s;
        let due_s = job.time_allowed_s(&self.deployment, run_s);
        let class = ArrivalClass { machine_type: fit.machine_type, class: job.spec.class.clone() };
        self.cluster.autoscaler.arrivals.add(class, work, due_s);
        self.record_gang_arrival(job_idx, fit, work);
    }
}
