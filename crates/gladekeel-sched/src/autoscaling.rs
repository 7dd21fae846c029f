//! How many machines of one type there should be.
//!
//! The leader's autoscaler keeps one [`Autoscaler`] per machine type and purchase model, and asks
//! it for a [`ScalingPlan`] at regular intervals. All amounts of work are in machines of that
//! type: a task counts as the fraction of a machine that it requests.
//!
//! Work that is due by a time must fit into what the machines can do until then. For what does
//! not fit, new machines do their part from the end of their boot on; work that is due sooner is
//! late in any case, and counts as due when a new machine could have done it. Besides:
//!
//! - work that is yet to arrive counts as far as it will be due earlier;
//! - as long as there is work for them, as many machines as were busy of late are requested, so
//!   that lost ones are replaced before work is late;
//! - a pending gang needs its machines at once, beside all that runs.

/// What a job demands of a machine type.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct JobDemand {
    /// Tasks on no machine, in machines.
    pub pending: f64,
    /// Tasks on machines, in machines.
    pub running: f64,
    /// Expected run time of a task, in seconds.
    pub run_s: f64,
    /// Time until the job should be complete, in seconds; negative if it is late.
    pub time_left_s: f64,
    /// Whether the pending tasks can only run all at once.
    pub gang: bool,
}

impl JobDemand {
    /// Machine-seconds of work left; running tasks count as half done.
    fn remaining_work(&self) -> f64 {
        (self.pending + 0.5 * self.running) * self.run_s
    }
}

/// Work of a class of jobs that keeps arriving, as measured in the last minutes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ArrivalRate {
    /// Machines that it keeps busy.
    pub machines: f64,
    /// Time from a job's submission until it should be complete, in seconds.
    pub due_s: f64,
}

impl ArrivalRate {
    /// Machine-seconds that will arrive and be due within so many seconds.
    fn work_due_within(&self, seconds: f64) -> f64 {
        self.machines * (seconds - self.due_s).max(0.0)
    }
}

/// The machines that there are, and those that are booting or requested.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Supply {
    /// Machines that are up.
    pub up: f64,
    /// For each machine that is not up yet, the expected seconds until it is.
    pub booting: Vec<f64>,
}

impl Supply {
    /// All machines, up or not.
    pub fn total(&self) -> f64 {
        self.up + self.booting.len() as f64
    }

    /// Machine-seconds that the machines can do within so many seconds.
    fn capacity_within(&self, seconds: f64) -> f64 {
        let booting = self.booting.iter().map(|boot_s| (seconds - boot_s).max(0.0));
        self.up * seconds + booting.sum::<f64>()
    }
}

/// How many machines to have.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ScalingPlan {
    /// Machines to add.
    pub scale_out: f64,
    /// Machines that the known work requires; idle ones beyond may be removed.
    pub required: f64,
    /// Idle spot machines stay up to this many, for the usual load.
    pub retain: f64,
}

/// The parameters of the autoscaler; operators can set them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AutoscalerConfig {
    /// Time constant of the smoothed demand, in seconds.
    pub smoothing_s: f64,
    /// The part of the smoothed demand that idle spot machines are kept for.
    pub spot_retention: f64,
    /// The part of a machine's time that is counted on: tasks don't fill machines without gaps.
    pub target_utilization: f64,
}

impl Default for AutoscalerConfig {
    fn default() -> Self {
        AutoscalerConfig { smoothing_s: 30.0, spot_retention: 0.8, target_utilization: 0.55 }
    }
}

/// What a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct ScalingInput<'a> {
    /// The demands of all unfinished jobs.
    pub demands: &'a [JobDemand],
    /// The machines.
    pub supply: &'a Supply,
    /// Work that keeps arriving.
    pub arrivals: &'a [ArrivalRate],
    /// How long a machine takes to boot, in seconds.
    pub boot_s: f64,
}

/// An amount of work that must be done by a time.
#[derive(Debug, Clone, Copy)]
struct DueWork {
    /// Seconds from now.
    due_s: f64,
    /// Machine-seconds, all work that is due earlier included.
    work: f64,
}

impl ScalingInput<'_> {
    fn running(&self) -> f64 {
        self.demands.iter().map(|demand| demand.running).sum()
    }

    fn pending(&self) -> f64 {
        self.demands.iter().map(|demand| demand.pending).sum()
    }

    fn pending_gangs(&self) -> f64 {
        let gangs = self.demands.iter().filter(|demand| demand.gang);
        gangs.map(|demand| demand.pending).sum()
    }

    /// The work that is due by the due time of each job, in machine-seconds at the target
    /// utilization. No job counts as due sooner than its earliest possible completion.
    fn work_by_due_time(
        &self,
        earliest_completion_s: impl Fn(&JobDemand) -> f64,
        config: &AutoscalerConfig,
    ) -> Vec<DueWork> {
        let due_work = |demand: &JobDemand| DueWork {
            due_s: demand.time_left_s.max(earliest_completion_s(demand)),
            work: demand.remaining_work(),
        };
        let mut due: Vec<DueWork> = self.demands.iter().map(due_work).collect();
        due.sort_by(|a, b| a.due_s.total_cmp(&b.due_s));
        let mut known = 0.0;
        for DueWork { due_s, work } in &mut due {
            known += *work;
            let arrivals = self.arrivals.iter();
            let arriving: f64 = arrivals.map(|rate| rate.work_due_within(*due_s)).sum();
            *work = (known + arriving) / config.target_utilization;
        }
        due
    }

    /// Machines that do all work in time, if they are up already.
    fn machines_for_due_work(&self, config: &AutoscalerConfig) -> f64 {
        self.work_by_due_time(|demand| demand.run_s, config)
            .into_iter()
            .map(|due| due.work / due.due_s)
            .fold(self.running(), f64::max)
    }

    /// Machines to add for work that the supply cannot do in time.
    fn missing_for_due_work(&self, config: &AutoscalerConfig) -> f64 {
        self.work_by_due_time(|demand| self.boot_s + demand.run_s, config)
            .into_iter()
            .map(|due| {
                let missing_work = due.work - self.supply.capacity_within(due.due_s);
                missing_work / (due.due_s - self.boot_s).max(1.0)
            })
            .fold(0.0, f64::max)
    }

    /// Machines to add so that pending gangs fit beside all that runs, however soon that ends.
    fn missing_for_gangs(&self) -> f64 {
        let gangs = self.pending_gangs();
        if gangs > 0.0 { self.running() + gangs - self.supply.total() } else { 0.0 }
    }
}

/// Plans the machines of one type. Keeps smoothed values from one plan to the next.
#[derive(Debug, Clone, Default)]
pub struct Autoscaler {
    smoothed_required: f64,
    smoothed_busy: f64,
    planned_at: f64,
}

impl Autoscaler {
    /// Plans for the demands as of now, a time in seconds that does not go back.
    pub fn plan(
        &mut self,
        now: f64,
        input: &ScalingInput<'_>,
        config: &AutoscalerConfig,
    ) -> ScalingPlan {
        let old_weight = (-(now - self.planned_at).max(0.0) / config.smoothing_s).exp();
        self.planned_at = now;
        let running = input.running();
        self.smoothed_busy = self.smoothed_busy * old_weight + running * (1.0 - old_weight);
        let scale_out = input
            .missing_for_due_work(config)
            .max(self.lost_machines(input).floor())
            .max(input.missing_for_gangs().ceil());
        let required = input.machines_for_due_work(config).max(running + input.pending_gangs());
        self.smoothed_required =
            self.smoothed_required * old_weight + required * (1.0 - old_weight);
        ScalingPlan {
            scale_out,
            required,
            retain: required.max(self.smoothed_required * config.spot_retention),
        }
    }

    /// Machines that were busy of late, are there no more, and for which there is work.
    fn lost_machines(&self, input: &ScalingInput<'_>) -> f64 {
        let with_work = self.smoothed_busy.min(input.running() + input.pending());
        with_work - input.supply.up - input.supply.booting.len() as f64
    }
}
