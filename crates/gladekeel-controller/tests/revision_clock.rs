//! The clock that tells when the store made a change: which marks count for a change, and which
//! slot the next mark is written to.

use gladekeel_controller::{
    keys,
    revision_clock::{RevisionClock, RevisionMark},
    store_view::StoreView,
};
use gladekeel_store::Change;
use gladekeel_wire::{JobId, job::JobState};
use serde_json::{Value, json};

fn clock(marks: &[(u32, u64, f64)]) -> RevisionClock {
    let mut clock = RevisionClock::default();
    for (slot, revision, sent_at) in marks {
        clock.apply(*slot, Some(&(json!(sent_at), *revision)));
    }
    clock
}

/// Guards against a time that is too late, which would put off a cancellation deadline.
#[test]
fn a_change_was_made_after_the_marks_with_lower_revisions() {
    let clock = clock(&[(0, 10, 100.0), (1, 20, 105.0), (2, 30, 110.0)]);
    assert_eq!(clock.made_after(10), None, "a mark says nothing about its own revision");
    assert_eq!(clock.made_after(11), Some(100.0));
    assert_eq!(clock.made_after(20), Some(100.0));
    assert_eq!(clock.made_after(21), Some(105.0));
    assert_eq!(clock.made_after(1000), Some(110.0));
    assert_eq!(RevisionClock::default().made_after(1000), None);
}

/// Guards against a mark that is written late hiding a newer one: its statement is still true, but
/// says less.
#[test]
fn a_mark_that_is_written_late_hides_no_other_mark() {
    let clock = clock(&[(0, 10, 100.0), (1, 20, 112.0), (2, 30, 105.0)]);
    assert_eq!(clock.made_after(31), Some(112.0));
    assert_eq!(clock.newest(), Some(RevisionMark { revision: 30, sent_at: 105.0 }));
}

/// Guards against a ring that grows, or that overwrites a mark that is needed.
#[test]
fn the_slot_with_the_oldest_mark_is_written_next() {
    let mut clock = RevisionClock::default();
    for number in 0..u64::from(RevisionClock::SLOTS) * 2 {
        let slot = clock.next_slot();
        assert_eq!(u64::from(slot), number % u64::from(RevisionClock::SLOTS));
        clock.apply(slot, Some(&(json!(number), 10 + number)));
    }
    clock.apply(7, None);
    assert_eq!(clock.next_slot(), 7, "a slot without a mark comes first");
}

/// Guards against a value of another version that stops this one or counts as a time.
#[test]
fn a_value_that_is_not_a_time_counts_as_no_mark() {
    let mut clock = clock(&[(0, 10, 100.0), (1, 20, 105.0)]);
    clock.apply(1, Some(&(json!({ "at": 110.0 }), 30)));
    assert_eq!(clock.made_after(31), Some(100.0));
}

/// Guards against marks that do not cover the deadline of a cancellation.
#[test]
fn the_ring_covers_two_cancellation_deadlines() {
    for deadline_s in [50.0, 65.0] {
        let covered_s = RevisionClock::interval_s(deadline_s) * f64::from(RevisionClock::SLOTS);
        assert!((covered_s - 2.0 * deadline_s).abs() < 1e-9, "{deadline_s}: {covered_s}");
    }
}

/// Guards against keys that a later start does not find again.
#[test]
fn keys_of_slots_are_parsed() {
    for slot in 0..RevisionClock::SLOTS {
        assert_eq!(keys::parse_clock_slot(&keys::clock_slot(slot)), Some(slot));
    }
    assert_eq!(keys::clock_slot(7), "gk/clock/07");
    assert_eq!(keys::parse_clock_slot("gk/clock/x"), None);
    assert_eq!(keys::parse_clock_slot("gk/fate/job-1"), None);
}

/// Guards against a cancellation whose time is remembered although it is not known.
#[test]
fn a_cancellation_before_every_known_time_has_no_time() {
    let id: JobId = "job-1".parse().unwrap();
    let put =
        |key: String, value: Value, version: u64| Change { key, current: Some((value, version)) };
    let spec = json!({
        "name_id": "job-1", "rig": "c", "crew": "red", "build": "array", "urgency": "normal",
        "pieces": 1, "vcpus": 1.0, "gpus": 0.0, "ram_gb": 1.0, "hulls": null, "yard": null,
        "one_zone": false, "scatter": false, "driftwood": false, "pattern": "img",
        "size_gb": 1.0, "reckon_s": 1.0, "mark_s": 0.0, "stow_s": 0.0, "launch_s": null,
    });
    let aborted = serde_json::to_value(JobState::Cancelled).unwrap();
    for (made_after, expected) in [(f64::NEG_INFINITY, None), (-20.0, Some(&-20.0))] {
        let mut store = StoreView::default();
        store.apply(&put(keys::job(&id), spec.clone(), 1), f64::NEG_INFINITY);
        assert!(store.jobs.contains_key(&id));
        store.apply(&put(keys::final_state(&id), aborted.clone(), 2), made_after);
        assert!(store.is_cancelled(&id));
        assert_eq!(store.cancelled_no_earlier_than.get(&id), expected);
    }
}
