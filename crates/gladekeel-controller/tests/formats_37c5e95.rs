//! What version 37c5e95, in production once, keeps in the state service, read by this one.
//!
//! The files `fixtures/37c5e95_*` were written by commit
//! 37c5e95213a12123977e782109b725d8fe96dbed, which is called production here: the values
//! that two of its nodes committed, key and value on each line, and two segments of its
//! log's writer. What it stored must stay readable, so these files never change with the
//! code.

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

const TOKEN: u64 = 41 << 32;

/// The values that production committed.
const STORED: StoredValues = StoredValues::new(include_str!("fixtures/37c5e95_values.jsonl"));

fn put(key: &str, value: Value, version: u64) -> Change {
    Change { key: key.to_owned(), current: Some((value, version)) }
}

/// Guards against a segment that means something else to the other version: a leader
/// that misreads one starts tasks twice or loses finished ones.
#[test]
fn segments_are_read_and_written_as_production_s() {
    let text = include_str!("fixtures/37c5e95_segment.txt").trim_end();
    let (a, b) = (job("job-000412"), job("job-a_b.c-9"));
    let before = 40 << 32;
    let expected = Segment {
        sequence: 258,
        assignments: vec![
            assigned(&a, 0, "n-000001", 1, TOKEN + 1),
            assigned(&a, 70_000, "n-000002", 3, TOKEN + 2),
            assigned(&b, 5, "n-000001", 2, TOKEN + 3),
        ],
        releases: vec![
            released(&a, 1, before + 7, AttemptOutcome::Done),
            released(&a, 2, before + 8, AttemptOutcome::Requeued),
            released(&b, 3, before + 9, AttemptOutcome::Restarted),
        ],
        progress_pages: vec![
            ProgressPage { job: a, page: 17, done: vec![0x81, 0, 0xff], restarted: vec![2] },
            ProgressPage { job: b, page: 0, done: vec![], restarted: vec![] },
        ],
    };
    assert_eq!(decode(text), Ok(expected.clone()));
    assert_eq!(encode(&expected), text);
}

/// Guards against outcomes of attempts, and pages of progress, that are numbered anew.
#[test]
fn numbers_in_segments_stay() {
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

/// Guards against a bound on what is read: production filled segments up to 4 KB, and
/// they are still there when the service takes only 2 KB.
#[test]
fn segments_beyond_the_lowered_limit_are_read() {
    let text = include_str!("fixtures/37c5e95_segment_large.txt").trim_end();
    assert!(text.len() > 2048 && text.len() * 3 / 4 > segment_capacity(2048));
    let segment = decode(text).expect("production's segment");
    let a = job("job-000412");
    let rows: Vec<Assignment> = (0..161)
        .map(|n| Assignment {
            job: a.clone(),
            index: n,
            machine: format!("n-{:06}", n / 8),
            incarnation: 1,
            attempt: TOKEN + u64::from(n),
        })
        .collect();
    let expected = Segment { sequence: 259, assignments: rows, ..Segment::default() };
    assert_eq!(segment, expected);
    assert_eq!(encode(&expected), text);
}

/// Guards against a log that a new leader finds under other keys or cannot read: these
/// are the segments of a job's whole life as production's leader committed them.
#[test]
fn a_committed_log_is_read() {
    let log = |slot| {
        let key = keys::log(slot);
        decode(STORED.value(&key).as_str().unwrap()).expect("production's segment")
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

/// Guards against keys that move: both versions must find the same rows.
#[test]
fn keys_are_production_s() {
    let id = job("job-000412");
    assert_eq!(keys::job(&id), "gk/job/job-000412");
    assert_eq!(keys::final_state(&id), "gk/fate/job-000412");
    assert_eq!(keys::drain("n-000007"), "gk/drain/n-000007");
    assert_eq!(keys::log(1), "gl/000001");
    assert_eq!(keys::parse_log_slot("gl/000001"), Some(1));
    assert_eq!(
        (keys::LEADER, keys::MACHINE_TYPES, keys::OPTIONS),
        ("gk/leader", "gk/types", "gk/options")
    );
    assert_eq!(
        (keys::REPLICATED_PREFIX, keys::ASSIGNMENT_LOG_PREFIX, keys::ACCEPTED_AT),
        ("gk/", "gl/", "accepted_at")
    );
}

/// Guards against stored values that are read otherwise than production meant them, and
/// against rows that are silently ignored.
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
        // What this version stores of the same job is what production stored.
        let mut ours = serde_json::to_value(&spec).unwrap();
        ours[keys::ACCEPTED_AT] = 1_790_000_010.25.into();
        assert_eq!(ours, STORED.value(&keys::job(&spec.id)));
    }

    assert_eq!(store.final_states.len(), 2);
    assert_eq!(store.final_states[&a], JobState::Done);
    assert_eq!(store.final_states[&b], JobState::Cancelled);
    assert!(store.is_cancelled(&b) && !store.is_cancelled(&a));
    // The time is this node's own: production stores none.
    assert_eq!(store.cancelled_no_earlier_than.get(&b), Some(&5.0));
    assert_eq!(store.cancelled_no_earlier_than.get(&a), None);

    let options = BTreeMap::from(
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
    assert_eq!((&store.options, store.options_version), (&options, 16));
    assert_eq!(store.drain_orders, BTreeMap::from([("n-000007".to_owned(), 17)]));
    assert!(!store.has_legacy_assignments, "production keeps no assignments in pages");
}

/// Guards against all options being dropped for one that this version does not know. The name is put to production's value by hand: production has none such.
#[test]
fn an_option_without_a_place_costs_no_other() {
    let mut stored = STORED.value(keys::OPTIONS);
    stored["of_another_version"] = json!(7.5);
    let mut store = StoreView::default();
    assert_eq!(store.apply(&put(keys::OPTIONS, stored, 4), 0.0), ChangeKind::RuntimeSettings);
    assert_eq!(store.options.len(), 12);
    assert_eq!(store.options["of_another_version"], 7.5);
    assert_eq!((store.options["beta"], store.options["round_s"]), (1.5, 2.0));
}

/// Guards against final states and leader records that production could not read back:
/// this version writes the same words.
#[test]
fn values_are_written_as_production_s() {
    let written = |state: JobState| serde_json::to_value(state).unwrap();
    assert_eq!(written(JobState::Done), STORED.value("gk/fate/job-000412"));
    assert_eq!(written(JobState::Cancelled), STORED.value("gk/fate/job-a_b.c-9"));
    let record = LeaderRecord { node: "node-0".into(), incarnation: 559_256_596_868_823_998 };
    assert_eq!(serde_json::to_value(record).unwrap(), STORED.value(keys::LEADER));
    let types: MachineTypes = serde_json::from_value(STORED.value(keys::MACHINE_TYPES)).unwrap();
    assert_eq!(serde_json::to_value(types).unwrap(), STORED.value(keys::MACHINE_TYPES));
}
