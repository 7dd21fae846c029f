//! Rate, burst and debt of token buckets.

use gladekeel_store::TokenBucket;

/// An amount above the burst is never available in the bucket: unless it is taken as a debt, the
/// request waits forever.
#[test]
fn a_bucket_enforces_its_rate_and_takes_an_amount_above_the_burst_as_a_debt() {
    let mut bucket = TokenBucket::new(10.0, 5.0);
    let taken = (0..1000).filter(|i| bucket.try_take(f64::from(*i) * 0.01, 1.0)).count();
    assert!((100..=105).contains(&taken), "{taken}");
    assert!(!bucket.can_take(9.99, 5.0));
    assert!(bucket.try_take(20.0, 50.0), "an amount above the burst must not wait forever");
    assert!(!bucket.can_take(20.1, 1.0));
}
