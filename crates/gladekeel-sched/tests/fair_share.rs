//! Fair shares and their bounds.

use gladekeel_sched::fair_share::{Demand, FairShare};
use proptest::prelude::*;

fn demands(sizes: &[u32]) -> Vec<Demand> {
    sizes.iter().map(|n| Demand { remaining: *n, task_share: 1.0 }).collect()
}

#[test]
fn allocations_follow_both_cases_of_the_paper() {
    let fair_share = FairShare { beta: 1.0, epsilon: 1.0 };
    // Scarce: V = 4, 8, 20 of 16; the smallest get theirs, the largest gets the rest.
    assert_eq!(fair_share.allocate(&demands(&[10, 2, 4]), 16.0), [4.0, 4.0, 8.0]);
    // Enough: in proportion to V.
    assert_eq!(fair_share.allocate(&demands(&[1, 3]), 16.0), [4.0, 12.0]);
    // Floors: 16/2 × 0.9 for the large job although the small one requests 12.
    let with_floors = FairShare { beta: 1.0, epsilon: 0.1 };
    let allocations = with_floors.allocate(&demands(&[6, 100]), 16.0);
    assert!(
        (allocations[0] - 8.8).abs() < 1e-9 && (allocations[1] - 7.2).abs() < 1e-9,
        "{allocations:?}"
    );
}

proptest! {
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
        let requested: Vec<f64> =
            demands.iter().map(|demand| fair_share.virtual_size(demand.remaining) * demand.task_share).collect();
        for (allocation, wanted) in allocations.iter().zip(&requested) {
            prop_assert!(*allocation >= 0.0);
            prop_assert!(*allocation + 1e-9 >= wanted.min(floor));
            if requested.iter().sum::<f64>() <= capacity {
                prop_assert!(*allocation + 1e-9 >= *wanted, "enough for all");
            } else {
                prop_assert!(*allocation <= wanted + 1e-9, "scarce: no job gets more than its virtual size");
            }
        }
    }
}
