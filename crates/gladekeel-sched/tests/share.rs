//! The division of room, and its bounds.

use gladekeel_sched::fair_share::{Demand, FairShare};
use proptest::prelude::*;

fn jobs(sizes: &[u32]) -> Vec<Demand> {
    sizes.iter().map(|n| Demand { remaining: *n, task_share: 1.0 }).collect()
}

#[test]
fn both_regimes_of_the_thesis() {
    let hopper = FairShare { beta: 1.0, epsilon: 1.0 };
    // Short: V = 4, 8, 20 of 16; the smallest get theirs, the last what is left.
    assert_eq!(hopper.allocate(&jobs(&[10, 2, 4]), 16.0), [4.0, 4.0, 8.0]);
    // Enough: in proportion to V.
    assert_eq!(hopper.allocate(&jobs(&[1, 3]), 16.0), [4.0, 12.0]);
    // Floors: 16/2 × 0.9 for the large job although the small one wants 12.
    let floors = FairShare { beta: 1.0, epsilon: 0.1 };
    let parts = floors.allocate(&jobs(&[6, 100]), 16.0);
    assert!((parts[0] - 8.8).abs() < 1e-9 && (parts[1] - 7.2).abs() < 1e-9, "{parts:?}");
}

proptest! {
    #[test]
    fn shares_keep_within_room_and_above_floors(
        jobs in prop::collection::vec((0u32..200, 0.001f64..0.5), 1..30),
        beta in 1.01f64..2.0, epsilon in 0.0f64..1.0, room in 0.0f64..50.0,
    ) {
        let claims: Vec<Demand> =
            jobs.iter().map(|(remaining, task)| Demand { remaining: *remaining, task_share: *task }).collect();
        let hopper = FairShare { beta, epsilon };
        let parts = hopper.allocate(&claims, room);
        prop_assert!(parts.iter().sum::<f64>() <= room + 1e-6);
        let floor = room / claims.len() as f64 * (1.0 - epsilon);
        let wants: Vec<f64> =
            claims.iter().map(|c| hopper.virtual_size(c.remaining) * c.task_share).collect();
        for (part, want) in parts.iter().zip(&wants) {
            prop_assert!(*part >= 0.0);
            prop_assert!(*part + 1e-9 >= want.min(floor));
            if wants.iter().sum::<f64>() <= room {
                prop_assert!(*part + 1e-9 >= *want, "enough for all");
            } else {
                prop_assert!(*part <= want + 1e-9, "short: nobody gets more than its size");
            }
        }
    }
}
