//! Computes virtual sizes of jobs and divides the cluster between jobs.
//!
//! The division follows Hopper's rule (X. Ren, G. Ananthanarayanan, A. Wierman, M. Yu, "Hopper:
//! Decentralized Speculation-aware Cluster Scheduling at Scale", SIGCOMM 2015), in the version of
//! chapter 3 of the thesis "Speculation-aware Resource Allocation for Cluster Schedulers"
//! (guidelines 1 and 2 and pseudocode 1):
//!
//! - a job's virtual size is V = 2/β × its remaining tasks (equation 3.5), β being the tail index
//!   of the Pareto distribution of run times; the part of V beyond the remaining tasks is for
//!   speculative restarts;
//! - if the sum of V exceeds the capacity, jobs get their V, smallest first, until the capacity is
//!   used up;
//! - otherwise each job gets capacity in proportion to its V;
//! - each of N jobs gets at least a floor of (1 − ε) × S/N of the capacity S, unless its V is less.
//!
//! [`SchedulingCycle::task_allocations`](crate::cycle::SchedulingCycle::task_allocations) applies
//! the rule to the jobs of each priority and rounds the result to whole tasks.

/// The demand of a job for a share of the cluster.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Tasks that have not completed, running ones included.
    pub remaining: u32,
    /// The share of the cluster that one task requests.
    pub task_share: f64,
}

/// The parameters of the fair-share rule; operators can set them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairShare {
    /// Tail index of the Pareto distribution of run times, above 1.
    pub beta: f64,
    /// Fraction, from 0 to 1, by which a job's floor is below an equal share of the capacity.
    pub epsilon: f64,
}

impl Default for FairShare {
    fn default() -> Self {
        FairShare { beta: 1.2, epsilon: 0.1 }
    }
}

impl FairShare {
    /// Returns the virtual size of a job with this many remaining tasks, in tasks.
    pub fn virtual_size(&self, remaining: u32) -> f64 {
        2.0 / self.beta * f64::from(remaining)
    }

    /// Divides `capacity` between jobs and returns the allocation of each job, in the unit of
    /// `capacity`.
    ///
    /// Jobs are ordered by their virtual size in tasks, and each gets the share of the cluster that
    /// these tasks request. If all tasks request the same share, the division follows the rule of
    /// the paper.
    pub fn allocate(&self, demands: &[Demand], capacity: f64) -> Vec<f64> {
        let requested: Vec<f64> = demands
            .iter()
            .map(|demand| self.virtual_size(demand.remaining) * demand.task_share)
            .collect();
        let total: f64 = requested.iter().sum();
        if total <= 0.0 || capacity <= 0.0 {
            vec![0.0; demands.len()]
        } else if total <= capacity {
            requested.iter().map(|share| capacity * share / total).collect()
        } else {
            self.allocate_scarce(demands, &requested, capacity)
        }
    }

    /// Gives each job its floor, and then gives each job the rest of what it requests, smallest job
    /// first, until the capacity is used up.
    fn allocate_scarce(&self, demands: &[Demand], requested: &[f64], capacity: f64) -> Vec<f64> {
        let floor = capacity / demands.len() as f64 * (1.0 - self.epsilon);
        let mut allocations: Vec<f64> = requested.iter().map(|share| share.min(floor)).collect();
        let mut unallocated = capacity - allocations.iter().sum::<f64>();
        for job in smallest_first(demands) {
            let unmet = requested[job] - allocations[job];
            let granted = unmet.clamp(0.0, unallocated.max(0.0));
            allocations[job] += granted;
            unallocated -= granted;
        }
        allocations
    }
}

/// Returns the positions of the jobs, smallest virtual size first; ties keep their order.
fn smallest_first(demands: &[Demand]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|job| demands[*job].remaining);
    order
}
