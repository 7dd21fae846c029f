//! Sets of tasks in chunks.

use gladekeel_controller::keys::{TASKS_PER_PAGE, TaskBitmap};

proptest::proptest! {
    #[test]
    fn bits_survive_their_chunks(set in proptest::collection::btree_set(0u32..100_000, 0..300)) {
        let mut bits = TaskBitmap::default();
        for index in &set {
            proptest::prop_assert!(bits.insert(*index));
            proptest::prop_assert!(!bits.insert(*index));
        }
        let mut back = TaskBitmap::default();
        for chunk in 0..=100_000 / TASKS_PER_PAGE {
            back.insert_page(chunk, bits.page(chunk), 100_000);
        }
        proptest::prop_assert_eq!(back.count() as usize, set.len());
        proptest::prop_assert!(set.iter().all(|index| back.contains(*index)));
    }
}
