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

#[cfg(test)]
mod tests {
    use super::*;

    const SIZING: Sizing = Sizing { memory_s: 60.0, keep: 1.0, fill: 1.0 };

    fn plan(needs: &[Need], up: f64, booting: &[f64]) -> Plan {
        let supply = Supply { up, booting: booting.to_vec() };
        Sizer::default().plan(0.0, needs, &supply, &[], 50.0, &SIZING)
    }

    #[test]
    fn what_fits_before_it_is_due_needs_no_machine() {
        let need = |left_s| Need { pending: 10.0, run_s: 30.0, left_s, ..Need::default() };
        assert_eq!(plan(&[need(150.0)], 2.0, &[]).rent, 0.0);
        assert_eq!(plan(&[need(150.0)], 0.0, &[]).rent, 3.0);
        assert_eq!(plan(&[need(150.0)], 0.0, &[50.0, 50.0]).rent, 1.0);
        assert_eq!(plan(&[need(150.0)], 9.0, &[]).need, 2.0);
        assert_eq!(plan(&[need(-9.0)], 0.0, &[]).rent, 10.0, "late work is done all at once");
        let both = plan(&[need(150.0), need(300.0)], 0.0, &[]);
        assert_eq!(both.rent, 3.0, "work due later waits for the same machines");
        assert_eq!(plan(&[Need { running: 4.0, ..need(900.0) }], 4.0, &[]).need, 4.0);
    }

    #[test]
    fn what_will_come_and_be_due_sooner_counts() {
        let need = [Need { pending: 10.0, run_s: 30.0, left_s: 150.0, ..Need::default() }];
        let supply = Supply { up: 2.0, booting: Vec::new() };
        let rent = |due_s| {
            let flows = [Flow { machines: 4.0, due_s }];
            Sizer::default().plan(0.0, &need, &supply, &flows, 50.0, &SIZING).rent
        };
        assert_eq!(rent(150.0), 0.0, "due later than what there is");
        assert_eq!(rent(50.0), 4.0, "400 machine-seconds more are due in 150 s");
    }

    #[test]
    fn lost_machines_are_replaced_while_there_is_work_for_them() {
        let plan = |pending: f64, up: f64| {
            let mut sizer = Sizer::default();
            let need = |running, pending| {
                [Need { pending, running, run_s: 30.0, left_s: 900.0, together: false }]
            };
            let supply = |up| Supply { up, booting: Vec::new() };
            for second in 0..600 {
                let now = f64::from(second);
                sizer.plan(now, &need(100.0, 0.0), &supply(100.0), &[], 50.0, &SIZING);
            }
            sizer.plan(601.0, &need(up, pending), &supply(up), &[], 50.0, &SIZING).rent
        };
        assert!((38.0..=40.0).contains(&plan(500.0, 60.0)), "{}", plan(500.0, 60.0));
        assert_eq!(plan(10.0, 60.0), 10.0, "no more than there is work for");
        assert_eq!(plan(0.0, 60.0), 0.0);
        assert_eq!(plan(500.0, 100.0), 0.0, "all are there, and the work has time");
    }

    #[test]
    fn lulls_are_believed_slowly() {
        let mut sizer = Sizer::default();
        let needs = [Need { pending: 10.0, run_s: 30.0, ..Need::default() }];
        for second in 0..200 {
            sizer.plan(f64::from(second), &needs, &Supply::default(), &[], 50.0, &SIZING);
        }
        let after = sizer.plan(230.0, &[], &Supply::default(), &[], 50.0, &SIZING);
        assert!(after.need == 0.0 && (4.0..7.0).contains(&after.keep), "{after:?}");
    }
}
