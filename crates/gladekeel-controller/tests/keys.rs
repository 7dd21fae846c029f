//! Sets of tasks in chunks.

use gladekeel_controller::keys::{Bits, CHUNK};

proptest::proptest! {
    #[test]
    fn bits_survive_their_chunks(set in proptest::collection::btree_set(0u32..100_000, 0..300)) {
        let mut bits = Bits::default();
        for index in &set {
            proptest::prop_assert!(bits.add(*index));
            proptest::prop_assert!(!bits.add(*index));
        }
        let mut back = Bits::default();
        for chunk in 0..=100_000 / CHUNK {
            back.add_chunk(chunk, bits.chunk(chunk), 100_000);
        }
        proptest::prop_assert_eq!(back.count() as usize, set.len());
        proptest::prop_assert!(set.iter().all(|index| back.has(*index)));
    }
}
