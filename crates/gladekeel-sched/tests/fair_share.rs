//! Tests of fair shares and of their bounds.

use gladekeel_sched::fair_share::{Demand, FairShare};
use proptest::prelude::*;

/// Demands of jobs whose numbers of remaining tasks are `sizes`; each task requests one unit of
/// capacity.
fn demands(sizes: &[u32]) -> Vec<Demand> {
    sizes.iter().map(|n| Demand { remaining: *n, task_share: 1.0 }).collect()
}

/// Guards against deviations from the rule of the paper in its two cases and in the floors. β = 1
/// makes the virtual size V twice the number of remaining tasks.
#[test]
fn allocations_follow_the_paper_when_capacity_is_scarce_or_sufficient() {
    let fair_share = FairShare { beta: 1.0, epsilon: 1.0 };
    // Scarce capacity: V = 20, 4 and 8 exceed 16 in total. The two smaller jobs get their V, and
    // the largest job gets the rest.
    assert_eq!(fair_share.allocate(&demands(&[10, 2, 4]), 16.0), [4.0, 4.0, 8.0]);
    // Sufficient capacity: the allocations are proportional to V.
    assert_eq!(fair_share.allocate(&demands(&[1, 3]), 16.0), [4.0, 12.0]);
    // Floors: the large job gets its floor of 16/2 × 0.9, although the small job requests 12.
    let with_floors = FairShare { beta: 1.0, epsilon: 0.1 };
    let allocations = with_floors.allocate(&demands(&[6, 100]), 16.0);
    assert!(
        (allocations[0] - 8.8).abs() < 1e-9 && (allocations[1] - 7.2).abs() < 1e-9,
        "{allocations:?}"
    );
}

proptest! {
    /// Guards against allocations that exceed the capacity in total or fall below a job's floor,
    /// and against a job that gets less than its virtual size when capacity suffices, or more than
    /// its virtual size when capacity is scarce.
    #[test]
    fn allocations_stay_within_the_capacity_and_above_the_floors(
        jobs in prop::collection::vec((0u32..200, 0.001f64..0.5), 1..30),
        beta in 1.01f64..2.0, epsilon in 0.0f64..1.0, capacity in 0.0f64..50.0,
    ) {
        let demands: Vec<Demand> =
            jobs.iter().map(|(remaining, task)| Demand { remaining: *remaining, task_share: *task }).collect();
        let fair_share = FairShare { beta, epsilon };
        let allocations = fair_share.allocate(&demands, capacity);
        prop_assert!(allocations.iter().sum::<f64>() <= capacity + 1e-6);
        let floor = capacity / demands.len() as f64 * (1.0 - epsilon);
        let requested_by_jobs: Vec<f64> =
            demands.iter().map(|demand| fair_share.virtual_size(demand.remaining) * demand.task_share).collect();
        for (allocation, requested) in allocations.iter().zip(&requested_by_jobs) {
            prop_assert!(*allocation >= 0.0);
            prop_assert!(*allocation + 1e-9 >= requested.min(floor));
            if requested_by_jobs.iter().sum::<f64>() <= capacity {
                prop_assert!(
                    *allocation + 1e-9 >= *requested,
                    "sufficient capacity: no job gets less than its virtual size"
                );
            } else {
                prop_assert!(
                    *allocation <= requested + 1e-9,
                    "scarce capacity: no job gets more than its virtual size"
                );
            }
        }
    }
}
