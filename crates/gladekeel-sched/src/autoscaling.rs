//! Plans how many machines of one type there should be.
//!
//! The leader keeps one [`Autoscaler`] per machine type and purchase model, and requests a
//! [`ScalingPlan`] from each at regular intervals. Demand is measured in machines of that type: a
//! task contributes the fraction of a machine that it requests.
//!
//! For every due time, the machines must be able to do all work that is due by that time. Machines
//! are added for the excess work; a new machine does work only after it has booted. Work that is
//! due before a new machine could complete it is late in any case, and is planned as if it were due
//! when a new machine could have completed it. In addition:
//!
//! - work that is expected to arrive is included if it will be due by the same time;
//! - if fewer machines are up or booting than were busy recently, and there is work for more, the
//!   difference is requested, so that lost machines are replaced before work is late;
//! - for a pending gang, whose tasks must all run at once, machines are requested in addition to
//!   those that run other tasks.

/// The demand of a job for machines of one type.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct JobDemand {
    /// Number of machines, possibly fractional, that the job's pending tasks would fill.
    pub pending: f64,
    /// Number of machines, possibly fractional, that the job's assigned tasks fill.
    pub running: f64,
    /// Expected run time of a task, in seconds.
    pub run_s: f64,
    /// Time until the job should be complete, in seconds; negative if the job is late.
    pub time_left_s: f64,
    /// Whether the job is a gang, whose pending tasks must all run at the same time.
    pub gang: bool,
}

impl JobDemand {
    /// Returns the remaining work in machine-seconds; running tasks count as half done.
    fn remaining_work(&self) -> f64 {
        (self.pending + 0.5 * self.running) * self.run_s
    }
}

/// The rate at which work of a class of jobs arrives, as measured over the last few minutes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ArrivalRate {
    /// Number of machines that the arriving work keeps busy.
    pub machines: f64,
    /// Time from a job's submission until it should be complete, in seconds.
    pub due_s: f64,
}

impl ArrivalRate {
    /// Returns the machine-seconds of work that will both arrive and be due within `seconds`.
    fn work_due_within(&self, seconds: f64) -> f64 {
        self.machines * (seconds - self.due_s).max(0.0)
    }
}

/// The machines that are up, and those that are booting or requested.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Supply {
    /// Number of machines that are up.
    pub up: f64,
    /// For each machine that is booting or requested, the expected time in seconds until it is up.
    pub booting: Vec<f64>,
}

impl Supply {
    /// Returns the number of all machines, whether up or not.
    pub fn total(&self) -> f64 {
        self.up + self.booting.len() as f64
    }

    /// Returns the machine-seconds of work that the machines can do within `seconds`.
    fn capacity_within(&self, seconds: f64) -> f64 {
        let booting = self.booting.iter().map(|boot_s| (seconds - boot_s).max(0.0));
        self.up * seconds + booting.sum::<f64>()
    }
}

/// The result of planning: how many machines to add, and how many to keep.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ScalingPlan {
    /// Number of machines to add.
    pub scale_out: f64,
    /// Number of machines that could do all work in time if all of them were up already; idle
    /// machines beyond this number may be removed.
    pub required: f64,
    /// Idle spot machines are kept while the total number of machines is at most this value,
    /// because the usual load is expected to return.
    pub retain: f64,
}

/// The parameters of the autoscaler; operators can set them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AutoscalerConfig {
    /// Time constant, in seconds, of the exponential smoothing of the demand.
    pub smoothing_s: f64,
    /// Fraction of the smoothed demand for which idle spot machines are kept.
    pub spot_retention: f64,
    /// Fraction of a machine's time that the plan assumes to be used, since tasks do not fill
    /// machines without gaps.
    pub target_utilization: f64,
}

impl Default for AutoscalerConfig {
    fn default() -> Self {
        AutoscalerConfig { smoothing_s: 30.0, spot_retention: 0.8, target_utilization: 0.55 }
    }
}

/// The input of [`Autoscaler::plan`].
#[derive(Debug, Clone, Copy)]
pub struct ScalingInput<'a> {
    /// The demands of all unfinished jobs.
    pub demands: &'a [JobDemand],
    /// The machines of the type that is planned.
    pub supply: &'a Supply,
    /// The rates at which work of each class of jobs arrives.
    pub arrivals: &'a [ArrivalRate],
    /// How long a machine takes to boot, in seconds.
    pub boot_s: f64,
}

/// The amount of work that must be done by a due time.
#[derive(Debug, Clone, Copy)]
struct DueWork {
    /// Due time, in seconds from now.
    due_s: f64,
    /// Machine-seconds of work that is due at `due_s` or earlier.
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

    /// Returns, for the due time of each job, the total work that is due by that time, in
    /// machine-seconds at the target utilization. A due time before the job's earliest possible
    /// completion is replaced by the time of that completion.
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

    /// Returns how many machines would do all work in time if all of them were already up.
    fn machines_for_due_work(&self, config: &AutoscalerConfig) -> f64 {
        self.work_by_due_time(|demand| demand.run_s, config)
            .into_iter()
            .map(|due| due.work / due.due_s)
            .fold(self.running(), f64::max)
    }

    /// Returns how many machines to add for work that the supply cannot do in time.
    fn scale_out_for_due_work(&self, config: &AutoscalerConfig) -> f64 {
        self.work_by_due_time(|demand| self.boot_s + demand.run_s, config)
            .into_iter()
            .map(|due| {
                let excess_work = due.work - self.supply.capacity_within(due.due_s);
                excess_work / (due.due_s - self.boot_s).max(1.0)
            })
            .fold(0.0, f64::max)
    }

    /// Returns how many machines to add so that pending gangs fit in addition to all running tasks,
    /// even if those tasks are about to end.
    fn scale_out_for_gangs(&self) -> f64 {
        let gangs = self.pending_gangs();
        if gangs > 0.0 { self.running() + gangs - self.supply.total() } else { 0.0 }
    }
}

/// Plans the number of machines of one type. Keeps smoothed values between plans.
#[derive(Debug, Clone, Default)]
pub struct Autoscaler {
    /// Smoothed [`ScalingPlan::required`].
    smoothed_required: f64,
    /// Smoothed number of busy machines.
    smoothed_busy: f64,
    /// Time of the last plan, in seconds; 0 before the first one.
    planned_at: f64,
}

impl Autoscaler {
    /// Makes a plan for the demands at `now`, in seconds; `now` must not decrease between calls.
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
            .scale_out_for_due_work(config)
            .max(self.lost_machines(input).floor())
            .max(input.scale_out_for_gangs().ceil());
        let required = input.machines_for_due_work(config).max(running + input.pending_gangs());
        self.smoothed_required =
            self.smoothed_required * old_weight + required * (1.0 - old_weight);
        ScalingPlan {
            scale_out,
            required,
            retain: required.max(self.smoothed_required * config.spot_retention),
        }
    }

    /// Returns how many of the recently busy machines must be replaced, because they are neither up
    /// nor booting although there is work for them; zero or negative if no replacement is needed.
    fn lost_machines(&self, input: &ScalingInput<'_>) -> f64 {
        let with_work = self.smoothed_busy.min(input.running() + input.pending());
        with_work - input.supply.up - input.supply.booting.len() as f64
    }
}
