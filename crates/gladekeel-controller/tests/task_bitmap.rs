//! Sets of tasks that are stored in pages.

use gladekeel_controller::task_bitmap::{TASKS_PER_PAGE, TaskBitmap};

proptest::proptest! {
    /// Guards against tasks that are lost or added when a bitmap is stored in pages and restored.
    #[test]
    fn a_bitmap_is_restored_from_its_pages(set in proptest::collection::btree_set(0u32..100_000, 0..300)) {
        let mut bitmap = TaskBitmap::default();
        for index in &set {
            proptest::prop_assert!(bitmap.insert(*index));
            proptest::prop_assert!(!bitmap.insert(*index));
        }
        let mut restored = TaskBitmap::default();
        for page in 0..=100_000 / TASKS_PER_PAGE {
            restored.insert_page(page, bitmap.page(page), 100_000);
        }
        proptest::prop_assert_eq!(restored.count() as usize, set.len());
        proptest::prop_assert!(set.iter().all(|index| restored.contains(*index)));
    }
}
