//! How many machines there should be.

/// What a job needs of a machine type.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct JobDemand {
    /// Tasks on no machine, in machines: each counts the part that it takes.
    pub pending: f64,
    /// Tasks on machines, likewise.
    pub running: f64,
    /// Expected time of a task, in seconds.
    pub run_s: f64,
    /// Time left until the job should be complete.
    pub time_left_s: f64,
    /// Whether what is pending runs at once or not at all.
    pub gang: bool,
}

impl JobDemand {
    /// Machine-seconds of work left.
    fn work(&self) -> f64 {
        (self.pending + 0.5 * self.running) * self.run_s
    }
}

/// Work of a class that goes on coming, as far as the last minutes tell.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ArrivalRate {
    /// Machines that it keeps busy.
    pub machines: f64,
    /// Time from its submission until it should be complete.
    pub due_s: f64,
}

impl ArrivalRate {
    /// Machine-seconds of it that will come and be due within a time.
    fn until(&self, time: f64) -> f64 {
        self.machines * (time - self.due_s).max(0.0)
    }
}

/// Machines that there are.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Supply {
    /// Up.
    pub up: f64,
    /// Not up yet: expected seconds until each is.
    pub booting: Vec<f64>,
}

impl Supply {
    /// Machine-seconds until a time.
    fn until(&self, time: f64) -> f64 {
        self.up * time + self.booting.iter().map(|boot| (time - boot).max(0.0)).sum::<f64>()
    }
}

/// How many machines to have.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ScalingPlan {
    /// Machines to rent.
    pub scale_out: f64,
    /// Machines that are needed as things are; more may go back.
    pub required: f64,
    /// Cheap idle machines stay up to this many, for what usually comes.
    pub retain: f64,
}

/// What is open to measurement in sizing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AutoscalerConfig {
    /// Time constant of the smoothed need, in seconds.
    pub smoothing_s: f64,
    /// Part of the smoothed need that cheap idle machines are kept for.
    pub spot_retention: f64,
    /// Part of a machine's time that is counted on: tasks don't fill machines without gaps.
    pub target_utilization: f64,
}

impl Default for AutoscalerConfig {
    fn default() -> Self {
        AutoscalerConfig { smoothing_s: 30.0, spot_retention: 0.8, target_utilization: 0.55 }
    }
}

/// Plans the machines of one type.
#[derive(Debug, Clone, Default)]
pub struct Autoscaler {
    smoothed_required: f64,
    smoothed_busy: f64,
    planned_at: f64,
}

impl Autoscaler {
    /// Plans for the needs of all jobs as of now.
    ///
    /// Work that is due by a time must fit into what machines can do until then.
    /// Of what does not fit, new machines do their part from the end of their boot
    /// on; work that is due sooner is late in any case and counts as due when a new
    /// machine could have done it. What is yet to come counts as far as it will be due
    /// earlier; and as long as there is work for them, as many machines as were at work of late are wanted, so that
    /// ones that are lost are replaced before work is late.
    pub fn plan(
        &mut self,
        now: f64,
        needs: &[JobDemand],
        supply: &Supply,
        flows: &[ArrivalRate],
        boot_s: f64,
        sizing: &AutoscalerConfig,
    ) -> ScalingPlan {
        let running: f64 = needs.iter().map(|need| need.running).sum();
        let due = |least: &dyn Fn(&JobDemand) -> f64| {
            let mut due: Vec<(f64, f64)> =
                needs.iter().map(|need| (need.time_left_s.max(least(need)), need.work())).collect();
            due.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut sum = 0.0;
            due.iter_mut().for_each(|(time, work)| {
                sum += *work;
                let later: f64 = flows.iter().map(|flow| flow.until(*time)).sum();
                *work = (sum + later) / sizing.target_utilization;
            });
            due
        };
        let need = due(&|need| need.run_s)
            .into_iter()
            .map(|(time, work)| work / time)
            .fold(running, f64::max);
        let rent = due(&|need| boot_s + need.run_s)
            .into_iter()
            .map(|(time, work)| (work - supply.until(time)) / (time - boot_s).max(1.0))
            .fold(0.0, f64::max);
        let weight = (-(now - self.planned_at).max(0.0) / sizing.smoothing_s).exp();
        let pending: f64 = needs.iter().map(|need| need.pending).sum();
        self.smoothed_busy = self.smoothed_busy * weight + running * (1.0 - weight);
        let lost =
            self.smoothed_busy.min(running + pending) - supply.up - supply.booting.len() as f64;
        // What runs together needs room beside all that runs, however soon that ends.
        let together: f64 = needs.iter().filter(|need| need.gang).map(|need| need.pending).sum();
        let have = supply.up + supply.booting.len() as f64;
        let beside = if together > 0.0 { running + together - have } else { 0.0 };
        let rent = rent.max(lost.floor()).max(beside.ceil());
        let need = need.max(running + together);
        self.smoothed_required = self.smoothed_required * weight + need * (1.0 - weight);
        self.planned_at = now;
        ScalingPlan {
            scale_out: rent,
            required: need,
            retain: need.max(self.smoothed_required * sizing.spot_retention),
        }
    }
}
