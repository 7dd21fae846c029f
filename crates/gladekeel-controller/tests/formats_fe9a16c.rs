//! Compatibility with the data that version fe9a16c stores in the state service.
//!
//! The files `fixtures/fe9a16c_*` were written by commit fe9a16c011fb47333bb3733953d6dba020195efa.
//! They hold the values that three of its nodes committed while they ran, stopped, cancelled and
//! finished gangs, an array and a service, with a key and a value on each line, in the order of the
//! commits, and two segments from its writer of the assignment log. An upgrade starts from such
//! data, and nodes of both versions use each other's data, so these files must never be changed
//! along with the code.

mod common;

use common::{StoredValues, assigned, encode, job, released};
use gladekeel_controller::{
    assignment_log::{AttemptOutcome, ProgressPage, Segment, decode, segment_capacity},
    keys::{self, LeaderRecord},
    store_view::StoreView,
};
use gladekeel_store::Change;
use gladekeel_wire::{
    JobId,
    cloud::MachineTypes,
    job::{JobKind, JobSpec, JobState},
};

/// Base of the attempt numbers in the segment fixtures.
const ATTEMPT_BASE: u64 = 41 << 32;
/// First attempt number of the first leader in the fixture, derived from its fencing token 2.
const FIRST_LEADER: u64 = 2 << 24;
/// First attempt number of the second leader in the fixture, derived from its fencing token 29.
const SECOND_LEADER: u64 = 29 << 24;

/// The values that fe9a16c committed.
const STORED: StoredValues = StoredValues::new(include_str!("fixtures/fe9a16c_values.jsonl"));

/// Guards against attempts of a gang that are recorded under other numbers: the attempt number of
/// each task is the gang's attempt number plus the task's index.
#[test]
fn segments_with_a_gang_are_read_and_written() {
    let text = include_str!("fixtures/fe9a16c_segment.txt").trim_end();
    let (gang, array) = (job("job-g.1"), job("job-000412"));
    let expected = Segment {
        sequence: 300,
        assignments: vec![
            assigned(&gang, 0, "n-000001", 1, ATTEMPT_BASE + 64),
            assigned(&gang, 1, "n-000002", 1, ATTEMPT_BASE + 65),
            assigned(&gang, 2, "n-000003", 4, ATTEMPT_BASE + 66),
            assigned(&array, 99_999, "n-000003", 4, ATTEMPT_BASE + 67),
        ],
        releases: vec![
            released(&gang, 1, ATTEMPT_BASE + 65, AttemptOutcome::Requeued),
            released(&gang, 0, ATTEMPT_BASE + 64, AttemptOutcome::Done),
            released(&array, 7, ATTEMPT_BASE + 3, AttemptOutcome::Restarted),
        ],
        progress_pages: vec![ProgressPage {
            job: array,
            page: 24,
            done: vec![0x80, 0x01],
            restarted: vec![0x10],
        }],
    };
    assert_eq!(decode(text), Ok(expected.clone()));
    assert_eq!(encode(&expected), text);
}

/// Guards against a decoder that rejects full segments: version fe9a16c fills a segment until the
/// stored value, the segment's text in quotes, is almost 2 KB (2048 bytes) long.
#[test]
fn full_segments_are_read_and_written() {
    let text = include_str!("fixtures/fe9a16c_segment_full.txt").trim_end();
    assert!(text.len() + 2 <= 2048 && text.len() > 1900, "{} characters", text.len());
    assert!(text.len() * 3 / 4 <= segment_capacity(2048));
    let gang = job("job-g.1");
    let rows = (0..71)
        .map(|n| {
            assigned(&gang, n, &format!("n-{:06}", n / 4), 1, ATTEMPT_BASE + 128 + u64::from(n))
        })
        .collect();
    let expected = Segment { sequence: 301, assignments: rows, ..Segment::default() };
    assert_eq!(decode(text), Ok(expected.clone()));
    assert_eq!(encode(&expected), text);
}

/// Guards against a leader of this version that reads or writes the log differently: every
/// segment of the fixture is encoded to the same text again.
#[test]
fn a_committed_log_is_read_and_written() {
    let texts: Vec<(String, String)> = STORED
        .all()
        .into_iter()
        .filter(|(key, _)| key.starts_with(keys::ASSIGNMENT_LOG_PREFIX))
        .map(|(key, value)| (key, value.as_str().unwrap().to_owned()))
        .collect();
    let mut log = Vec::new();
    for (sequence, (key, text)) in (0..).zip(&texts) {
        let segment = decode(text).expect("the segment is readable");
        assert_eq!(segment.sequence, sequence, "{key}");
        assert_eq!(&encode(&segment), text, "{key}");
        log.push(segment);
    }
    assert_eq!(log.len(), 13);
    // The second leader overwrites slots whose records have all been superseded.
    assert_eq!((texts[11].0.as_str(), texts[12].0.as_str()), ("gl/000000", "gl/000001"));

    let (first, second) = (job("job-g_2"), job("job-g.1"));
    let assignments_of = |segment: &Segment, job: &JobId| -> Vec<(u32, u64, String)> {
        let rows = segment.assignments.iter().filter(|row| row.job == *job);
        rows.map(|row| (row.index, row.attempt, row.machine.clone())).collect()
    };
    let row = |index: u32, attempt: u64, machine: &str| (index, attempt, machine.to_owned());
    // The gang was started, stopped with its machine, and started again with new attempt numbers.
    assert_eq!(
        assignments_of(&log[0], &first),
        [row(0, FIRST_LEADER, "n-000001"), row(1, FIRST_LEADER + 1, "n-000001")]
    );
    assert_eq!(
        assignments_of(&log[6], &first),
        [row(0, FIRST_LEADER + 12, "n-000002"), row(1, FIRST_LEADER + 13, "n-000002")]
    );
    let releases = |segment: &Segment| -> Vec<(u32, u64, AttemptOutcome)> {
        segment.releases.iter().map(|row| (row.index, row.attempt, row.outcome)).collect()
    };
    assert_eq!(
        releases(&log[5]),
        [
            (0, FIRST_LEADER, AttemptOutcome::Requeued),
            (1, FIRST_LEADER + 1, AttemptOutcome::Requeued)
        ]
    );
    // The gang is done once its first task is done. The other tasks are released once they have
    // provably stopped.
    assert_eq!(
        assignments_of(&log[2], &second),
        [
            row(0, FIRST_LEADER + 9, "n-000004"),
            row(1, FIRST_LEADER + 10, "n-000005"),
            row(2, FIRST_LEADER + 11, "n-000005"),
        ]
    );
    assert_eq!(releases(&log[7]), [(0, FIRST_LEADER + 9, AttemptOutcome::Done)]);
    assert_eq!(
        releases(&log[8]),
        [
            (1, FIRST_LEADER + 10, AttemptOutcome::Done),
            (2, FIRST_LEADER + 11, AttemptOutcome::Done)
        ]
    );
    assert_eq!(
        assignments_of(&log[11], &job("job-g.5")),
        [row(0, SECOND_LEADER, "n-000002"), row(1, SECOND_LEADER + 1, "n-000002")]
    );
}

/// Guards against stored values that have another meaning in this version than in fe9a16c.
#[test]
fn stored_values_are_read() {
    let mut store = StoreView::default();
    let rows = STORED.all();
    for (version, (key, value)) in (10..).zip(rows.clone()) {
        store.apply(&Change { key, current: Some((value, version)) }, 5.0);
    }
    let record = LeaderRecord { node: "node-2".into(), incarnation: 4_463_397_701_659_385_190 };
    assert_eq!(store.leader.as_ref().map(|(record, _)| record), Some(&record));
    assert_eq!(store.machine_types.all().map(|types| types.types.len()), Some(1));
    assert_eq!(
        (
            store.runtime_settings.len(),
            store.runtime_settings["beta"],
            store.runtime_settings["idle_s"]
        ),
        (11, 1.5, 200.0)
    );
    assert_eq!(store.drain_orders.keys().collect::<Vec<_>>(), ["n-000001"]);

    let specs = ["job-a-3", "job-g.1", "job-g.5", "job-g_2", "job-s.4"].map(|id| {
        let spec = &store.jobs[&job(id)].spec;
        (spec.kind, spec.tasks, spec.single_zone, spec.zone.as_deref())
    });
    let expected = [
        (JobKind::Array, 5, false, None),
        (JobKind::Gang, 3, true, None),
        (JobKind::Gang, 2, false, None),
        (JobKind::Gang, 2, false, Some("b")),
        (JobKind::Service, 2, false, None),
    ];
    assert_eq!((store.jobs.len(), specs), (5, expected));
    let gang = &store.jobs[&job("job-g.1")].spec;
    assert_eq!((gang.checkpoint_interval_s, gang.checkpoint_write_s), (5.0, 2.0));
    assert_eq!(store.jobs[&job("job-g.1")].accepted_at, Some(3.305527));

    let final_states = ["job-a-3", "job-g.1", "job-g.5", "job-g_2", "job-s.4"]
        .map(|id| store.final_states[&job(id)]);
    let (done, cancelled) = (JobState::Done, JobState::Cancelled);
    assert_eq!(final_states, [done, done, done, cancelled, cancelled]);
}

/// Guards against values that fe9a16c could not read: this version writes the same values.
#[test]
fn values_are_written_as_in_fe9a16c() {
    let mut jobs = 0;
    for (key, stored) in STORED.all() {
        let written = if key.starts_with(keys::JOB_PREFIX) {
            jobs += 1;
            let spec: JobSpec = serde_json::from_value(stored.clone()).unwrap();
            let mut value = serde_json::to_value(&spec).unwrap();
            value[keys::ACCEPTED_AT] = stored[keys::ACCEPTED_AT].clone();
            value
        } else if key.starts_with(keys::FINAL_STATE_PREFIX) {
            let state: JobState = serde_json::from_value(stored.clone()).unwrap();
            serde_json::to_value(state).unwrap()
        } else if key == keys::LEADER {
            let record: LeaderRecord = serde_json::from_value(stored.clone()).unwrap();
            serde_json::to_value(record).unwrap()
        } else if key == keys::MACHINE_TYPES {
            let types: MachineTypes = serde_json::from_value(stored.clone()).unwrap();
            serde_json::to_value(types).unwrap()
        } else {
            continue;
        };
        assert_eq!(written, stored, "{key}");
    }
    assert_eq!(jobs, 5);
    assert_eq!(STORED.value(&keys::final_state(&job("job-g.1"))), "done");
    assert_eq!(STORED.value(&keys::final_state(&job("job-g_2"))), "aborted");
    assert_eq!(STORED.value(&keys::drain("n-000001")), true);
}
