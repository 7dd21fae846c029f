//! How many machines there should be.

/// What a job needs of a machine type.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Need {
    /// Tasks on no machine, in machines: each counts the part that it takes.
    pub pending: f64,
    /// Tasks on machines, likewise.
    pub running: f64,
    /// Expected time of a task, in seconds.
    pub run_s: f64,
    /// Time left until the job should be complete.
    pub left_s: f64,
    /// Whether what is pending runs at once or not at all.
    pub together: bool,
}

impl Need {
    /// Machine-seconds of work left.
    fn work(&self) -> f64 {
        (self.pending + 0.5 * self.running) * self.run_s
    }
}

/// Work of a class that goes on coming, as far as the last minutes tell.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Flow {
    /// Machines that it keeps busy.
    pub machines: f64,
    /// Time from its submission until it should be complete.
    pub due_s: f64,
}

impl Flow {
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
pub struct Plan {
    /// Machines to rent.
    pub rent: f64,
    /// Machines that are needed as things are; more may go back.
    pub need: f64,
    /// Cheap idle machines stay up to this many, for what usually comes.
    pub keep: f64,
}

/// What is open to measurement in sizing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sizing {
    /// Time constant of the smoothed need, in seconds.
    pub memory_s: f64,
    /// Part of the smoothed need that cheap idle machines are kept for.
    pub keep: f64,
    /// Part of a machine's time that is counted on: tasks don't fill machines without gaps.
    pub fill: f64,
}

impl Default for Sizing {
    fn default() -> Self {
        Sizing { memory_s: 30.0, keep: 0.8, fill: 0.55 }
    }
}

/// Plans the machines of one type.
#[derive(Debug, Clone, Default)]
pub struct Sizer {
    load: f64,
    busy: f64,
    at: f64,
}

impl Sizer {
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
        needs: &[Need],
        supply: &Supply,
        flows: &[Flow],
        boot_s: f64,
        sizing: &Sizing,
    ) -> Plan {
        let running: f64 = needs.iter().map(|need| need.running).sum();
        let due = |least: &dyn Fn(&Need) -> f64| {
            let mut due: Vec<(f64, f64)> =
                needs.iter().map(|need| (need.left_s.max(least(need)), need.work())).collect();
            due.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut sum = 0.0;
            due.iter_mut().for_each(|(time, work)| {
                sum += *work;
                let later: f64 = flows.iter().map(|flow| flow.until(*time)).sum();
                *work = (sum + later) / sizing.fill;
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
        let weight = (-(now - self.at).max(0.0) / sizing.memory_s).exp();
        let pending: f64 = needs.iter().map(|need| need.pending).sum();
        self.busy = self.busy * weight + running * (1.0 - weight);
        let lost = self.busy.min(running + pending) - supply.up - supply.booting.len() as f64;
        // What runs together needs room beside all that runs, however soon that ends.
        let together: f64 =
            needs.iter().filter(|need| need.together).map(|need| need.pending).sum();
        let have = supply.up + supply.booting.len() as f64;
        let beside = if together > 0.0 { running + together - have } else { 0.0 };
        let rent = rent.max(lost.floor()).max(beside.ceil());
        let need = need.max(running + together);
        self.load = self.load * weight + need * (1.0 - weight);
        self.at = now;
        Plan { rent, need, keep: need.max(self.load * sizing.keep) }
    }
}
