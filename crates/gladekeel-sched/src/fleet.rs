//! How many machines there should be.

/// What sizing looks at, in CPUs of the machine type in question.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// Used by tasks on machines.
    pub running: f64,
    /// Wanted by tasks on no machine, within their teams' limits.
    pub pending: f64,
    /// CPU-seconds of work left in both.
    pub work: f64,
}

/// A smoothed load with the aims of sizing.
#[derive(Debug, Clone)]
pub struct Sizer {
    load: Option<f64>,
    at: f64,
}

/// What is open to measurement in sizing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sizing {
    /// Time constant of the smoothed load, in seconds.
    pub memory_s: f64,
    /// Room kept above the smoothed load, as a part of it.
    pub headroom: f64,
    /// A backlog should be worked off within this time of machines being up.
    pub clear_s: f64,
}

impl Default for Sizing {
    fn default() -> Self {
        Sizing { memory_s: 90.0, headroom: 0.25, clear_s: 40.0 }
    }
}

impl Default for Sizer {
    fn default() -> Self {
        Sizer::new()
    }
}

impl Sizer {
    /// A sizer that has seen nothing.
    pub fn new() -> Sizer {
        Sizer { load: None, at: 0.0 }
    }

    /// Takes a new reading and returns how many CPUs there should be.
    ///
    /// The smoothed load with headroom is what comes in steadily. A backlog
    /// beyond it is given what works it off in time, but never more than what
    /// can run at once.
    pub fn wanted(&mut self, now: f64, demand: Demand, sizing: &Sizing) -> f64 {
        let current = demand.running + demand.pending;
        let load = match self.load {
            None => current,
            Some(before) => {
                let weight = (-(now - self.at).max(0.0) / sizing.memory_s).exp();
                before * weight + current * (1.0 - weight)
            }
        };
        (self.load, self.at) = (Some(load), now);
        let steady = load * (1.0 + sizing.headroom);
        let backlog = (demand.work / sizing.clear_s).min(current);
        steady.max(backlog).max(demand.running)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bursts_count_at_once_and_lulls_slowly() {
        let sizing = Sizing { memory_s: 60.0, headroom: 0.0, clear_s: 30.0 };
        let mut sizer = Sizer::new();
        assert_eq!(sizer.wanted(0.0, Demand::default(), &sizing), 0.0);
        let burst = Demand { running: 0.0, pending: 640.0, work: 6400.0 };
        let wanted = sizer.wanted(1.0, burst, &sizing);
        assert!((wanted - 6400.0 / 30.0).abs() < 1e-6, "{wanted}");
        for second in 2..60 {
            sizer.wanted(f64::from(second), burst, &sizing);
        }
        let after = sizer.wanted(61.0, Demand::default(), &sizing);
        assert!((300.0..640.0).contains(&after), "{after}");
        assert!(sizer.wanted(600.0, Demand::default(), &sizing) < 1.0);
    }
}
