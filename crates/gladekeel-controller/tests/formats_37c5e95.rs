//! Compatibility with the data that version 37c5e95, which was once in production, stored in the
//! state service.
//!
//! The files `fixtures/37c5e95_*` were written by commit 37c5e95213a12123977e782109b725d8fe96dbed,
//! which is called production here. They hold the values that two of its nodes committed, with a
//! key and a value on each line, and two segments from its writer of the assignment log. Data that
//! production stored must stay readable, so these files must never be changed along with the code.

mod common;

use common::{StoredValues, assigned, encode, job, released};
use gladekeel_controller::{
    assignment_log::{Assignment, AttemptOutcome, ProgressPage, Segment, decode, segment_capacity},
    keys::{self, LeaderRecord},
    store_view::{ChangeKind, StoreView},
    task_bitmap::TASKS_PER_PAGE,
};
use gladekeel_store::Change;
use gladekeel_wire::{
    cloud::{MachineType, MachineTypes},
    job::{JobKind, JobSpec, JobState, Priority},
};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Base of the attempt numbers in the segment fixtures.
const ATTEMPT_BASE: u64 = 41 << 32;

/// The values that production committed.
const STORED: StoredValues = StoredValues::new(include_str!("fixtures/37c5e95_values.jsonl"));

fn put(key: &str, value: Value, version: u64) -> Change {
    Change { key: key.to_owned(), current: Some((value, version)) }
}

/// Guards against a segment that has another meaning in this version than in production: a leader
/// that misreads a segment starts tasks twice or loses finished ones.
#[test]
fn segments_are_read_and_written_as_in_production() {
    let text = include_str!("fixtures/37c5e95_segment.txt").trim_end();
    let (a, b) = (job("job-000412"), job("job-a_b.c-9"));
    let earlier_base = 40 << 32;
    let expected = Segment {
        sequence: 258,
        assignments: vec![
            assigned(&a, 0, "n-000001", 1, ATTEMPT_BASE + 1),
            assigned(&a, 70_000, "n-000002", 3, ATTEMPT_BASE + 2),
            assigned(&b, 5, "n-000001", 2, ATTEMPT_BASE + 3),
        ],
        releases: vec![
            released(&a, 1, earlier_base + 7, AttemptOutcome::Done),
            released(&a, 2, earlier_base + 8, AttemptOutcome::Requeued),
            released(&b, 3, earlier_base + 9, AttemptOutcome::Restarted),
        ],
        progress_pages: vec![
            ProgressPage { job: a, page: 17, done: vec![0x81, 0, 0xff], restarted: vec![2] },
            ProgressPage { job: b, page: 0, done: vec![], restarted: vec![] },
        ],
    };
    assert_eq!(decode(text), Ok(expected.clone()));
    assert_eq!(encode(&expected), text);
}

/// Guards against renumbered outcomes of attempts, and against renumbered progress pages: page
/// numbers depend on the size of a page.
#[test]
fn outcome_codes_and_page_size_are_unchanged() {
    assert_eq!(
        [
            AttemptOutcome::Done as u16,
            AttemptOutcome::Requeued as u16,
            AttemptOutcome::Restarted as u16
        ],
        [1, 2, 3]
    );
    assert_eq!(TASKS_PER_PAGE, 4096);
}

/// Guards against a decoder that rejects segments above the current size limit: production filled
/// segments up to 4 KB, and these are still stored when the state service accepts only 2 KB.
#[test]
fn segments_above_the_lowered_size_limit_are_read() {
    let text = include_str!("fixtures/37c5e95_segment_large.txt").trim_end();
    assert!(text.len() > 2048 && text.len() * 3 / 4 > segment_capacity(2048));
    let segment = decode(text).expect("production's segment is readable");
    let a = job("job-000412");
    let rows: Vec<Assignment> = (0..161)
        .map(|n| Assignment {
            job: a.clone(),
            index: n,
            machine: format!("n-{:06}", n / 8),
            incarnation: 1,
            attempt: ATTEMPT_BASE + u64::from(n),
        })
        .collect();
    let expected = Segment { sequence: 259, assignments: rows, ..Segment::default() };
    assert_eq!(segment, expected);
    assert_eq!(encode(&expected), text);
}

/// Guards against a new leader that looks for the log under other keys or cannot read the log. The
/// segments in the fixture cover a job from start to end, as production's leader committed them.
#[test]
fn a_committed_log_is_read() {
    let log = |slot| {
        let key = keys::log_slot(slot);
        decode(STORED.value(&key).as_str().unwrap()).expect("production's segment is readable")
    };
    let (first, second) = (log(0), log(1));
    assert_eq!((first.sequence, second.sequence), (0, 1));
    let rows: Vec<(String, u32, u64, &str, u64)> = first
        .assignments
        .iter()
        .map(|row| {
            (row.job.to_string(), row.index, row.attempt, row.machine.as_str(), row.incarnation)
        })
        .collect();
    let (a, b) = ("job-000412".to_owned(), "job-a_b.c-9".to_owned());
    let base = 2 << 24;
    assert_eq!(
        rows,
        [
            (b, 0, base, "n-000001", 1),
            (a.clone(), 0, base + 1, "n-000001", 1),
            (a.clone(), 1, base + 2, "n-000001", 1),
            (a, 2, base + 3, "n-000001", 1),
        ]
    );
    assert!(first.releases.is_empty() && first.progress_pages.is_empty());
    let done: Vec<(u32, u64, AttemptOutcome)> =
        second.releases.iter().map(|row| (row.index, row.attempt, row.outcome)).collect();
    assert_eq!(done, [0, 1, 2].map(|n| (n, base + 1 + u64::from(n), AttemptOutcome::Done)));
    assert!(second.assignments.is_empty() && second.progress_pages.is_empty());
}

/// Guards against changed keys: both versions must find the same values.
#[test]
fn keys_are_the_same_as_in_production() {
    let id = job("job-000412");
    assert_eq!(keys::job(&id), "gk/job/job-000412");
    assert_eq!(keys::final_state(&id), "gk/fate/job-000412");
    assert_eq!(keys::drain("n-000007"), "gk/drain/n-000007");
    assert_eq!(keys::log_slot(1), "gl/000001");
    assert_eq!(keys::parse_log_slot("gl/000001"), Some(1));
    assert_eq!(
        (keys::LEADER, keys::MACHINE_TYPES, keys::RUNTIME_SETTINGS),
        ("gk/leader", "gk/types", "gk/options")
    );
    assert_eq!(
        (keys::REPLICATED_PREFIX, keys::ASSIGNMENT_LOG_PREFIX, keys::ACCEPTED_AT),
        ("gk/", "gl/", "accepted_at")
    );
}

/// Guards against stored values that have another meaning in this version than in production, and
/// against values that are silently ignored.
#[test]
#[allow(clippy::too_many_lines, reason = "one recorded set of values, checked key by key")]
fn stored_values_are_read() {
    let mut store = StoreView::default();
    let (a, b) = (job("job-000412"), job("job-a_b.c-9"));
    for (version, (key, value)) in (10..).zip(STORED.all()) {
        let kind = store.apply(&put(&key, value, version), 5.0);
        let expected = match key.as_str() {
            "gk/job/job-000412" => ChangeKind::Job(a.clone()),
            "gk/job/job-a_b.c-9" => ChangeKind::Job(b.clone()),
            "gk/fate/job-000412" => ChangeKind::FinalState(a.clone()),
            "gk/fate/job-a_b.c-9" => ChangeKind::FinalState(b.clone()),
            "gk/options" => ChangeKind::RuntimeSettings,
            "gk/drain/n-000007" => ChangeKind::Drain("n-000007".into()),
            _ => ChangeKind::Other,
        };
        assert_eq!(kind, expected, "{key}");
    }

    let record = LeaderRecord { node: "node-0".into(), incarnation: 559_256_596_868_823_998 };
    assert_eq!(store.leader, Some((record, 10)));
    assert_eq!(store.highest_token, 10);
    let types = vec![MachineType {
        name: "m32".into(),
        cpus: 32.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: 2.0,
        spot_price: Some(0.7),
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    }];
    assert_eq!(store.machine_types.all(), Some(&MachineTypes { types }));
    assert_eq!(store.machine_types.versions(), BTreeMap::from([(0, 11)]));

    let spec = JobSpec {
        id: a.clone(),
        class: "batch".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 3,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "img".into(),
        image_gb: 1.0,
        machine_types: Some(vec!["m32".into()]),
        zone: Some("a".into()),
        single_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_write_s: 0.0,
        deadline_s: Some(900.0),
    };
    let other = JobSpec {
        id: b.clone(),
        tasks: 1,
        machine_types: None,
        zone: None,
        deadline_s: None,
        ..spec.clone()
    };
    assert_eq!(store.jobs.len(), 2);
    for (spec, version) in [(spec, 12), (other, 13)] {
        let stored = &store.jobs[&spec.id];
        assert_eq!(*stored.spec, spec);
        assert_eq!(stored.version, version);
        assert_eq!(stored.accepted_at, Some(1_790_000_010.25));
        // This version stores the same job in the same way as production.
        let mut written = serde_json::to_value(&spec).unwrap();
        written[keys::ACCEPTED_AT] = 1_790_000_010.25.into();
        assert_eq!(written, STORED.value(&keys::job(&spec.id)));
    }

    assert_eq!(store.final_states.len(), 2);
    assert_eq!(store.final_states[&a], JobState::Done);
    assert_eq!(store.final_states[&b], JobState::Cancelled);
    assert!(store.is_cancelled(&b) && !store.is_cancelled(&a));
    // The time in `cancelled_no_earlier_than` is on the node's own clock: production stores no time
    // of a cancellation.
    assert_eq!(store.cancelled_no_earlier_than.get(&b), Some(&5.0));
    assert_eq!(store.cancelled_no_earlier_than.get(&a), None);

    let settings = BTreeMap::from(
        [
            ("beta", 1.5),
            ("epsilon", 0.1),
            ("fleet_fill", 0.55),
            ("fleet_keep", 0.8),
            ("fleet_memory_s", 30.0),
            ("idle_s", 15.0),
            ("preempt_after_s", 6.0),
            ("preempt_saving_after_s", 1.0),
            ("restart_multiple", 3.0),
            ("round_s", 2.0),
            ("silent_s", 8.9),
        ]
        .map(|(name, value)| (name.to_owned(), value)),
    );
    assert_eq!((&store.runtime_settings, store.runtime_settings_version), (&settings, 16));
    assert_eq!(store.drain_orders, BTreeMap::from([("n-000007".to_owned(), 17)]));
    assert!(
        !store.has_legacy_assignments,
        "production stores no assignments in the layout of the first version"
    );
}

/// Guards against all runtime settings being dropped because of one that this version does not
/// know. The test adds such a setting to production's value, which has none.
#[test]
fn an_unknown_runtime_setting_does_not_affect_the_others() {
    let mut stored = STORED.value(keys::RUNTIME_SETTINGS);
    stored["of_another_version"] = json!(7.5);
    let mut store = StoreView::default();
    assert_eq!(
        store.apply(&put(keys::RUNTIME_SETTINGS, stored, 4), 0.0),
        ChangeKind::RuntimeSettings
    );
    assert_eq!(store.runtime_settings.len(), 12);
    assert_eq!(store.runtime_settings["of_another_version"], 7.5);
    assert_eq!((store.runtime_settings["beta"], store.runtime_settings["round_s"]), (1.5, 2.0));
}

/// Guards against final states, leader records and machine types that production could not read:
/// this version writes the same values.
#[test]
fn values_are_written_as_in_production() {
    let written = |state: JobState| serde_json::to_value(state).unwrap();
    assert_eq!(written(JobState::Done), STORED.value("gk/fate/job-000412"));
    assert_eq!(written(JobState::Cancelled), STORED.value("gk/fate/job-a_b.c-9"));
    let record = LeaderRecord { node: "node-0".into(), incarnation: 559_256_596_868_823_998 };
    assert_eq!(serde_json::to_value(record).unwrap(), STORED.value(keys::LEADER));
    let types: MachineTypes = serde_json::from_value(STORED.value(keys::MACHINE_TYPES)).unwrap();
    assert_eq!(serde_json::to_value(types).unwrap(), STORED.value(keys::MACHINE_TYPES));
}
