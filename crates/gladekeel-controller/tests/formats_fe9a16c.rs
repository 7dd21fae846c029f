//! What version fe9a16c keeps in the state service, read by this one and written again.
//!
//! The files `fixtures/fe9a16c_*` were written by commit
//! fe9a16c011fb47333bb3733953d6dba020195efa: the values that three of its nodes committed
//! while they ran, stopped, cancelled and finished gangs, an array and a service, key and
//! value on each line and in order, and two segments of its log's writer. An update begins
//! on such data, and nodes of both versions go on with each other's, so these files never
//! change with the code.

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

const TOKEN: u64 = 41 << 32;
/// The tokens under which the leaders of the fixture led, as numbers of attempts.
const FIRST_LEADER: u64 = 2 << 24;
const SECOND_LEADER: u64 = 29 << 24;

/// The values that fe9a16c committed.
const STORED: StoredValues = StoredValues::new(include_str!("fixtures/fe9a16c_values.jsonl"));

/// Guards against a gang that is recorded otherwise: the attempt of each task is the gang's
/// number plus the task's index.
#[test]
fn segments_with_a_gang_are_read_and_written() {
    let text = include_str!("fixtures/fe9a16c_segment.txt").trim_end();
    let (gang, array) = (job("job-g.1"), job("job-000412"));
    let expected = Segment {
        sequence: 300,
        assignments: vec![
            assigned(&gang, 0, "n-000001", 1, TOKEN + 64),
            assigned(&gang, 1, "n-000002", 1, TOKEN + 65),
            assigned(&gang, 2, "n-000003", 4, TOKEN + 66),
            assigned(&array, 99_999, "n-000003", 4, TOKEN + 67),
        ],
        releases: vec![
            released(&gang, 1, TOKEN + 65, AttemptOutcome::Requeued),
            released(&gang, 0, TOKEN + 64, AttemptOutcome::Done),
            released(&array, 7, TOKEN + 3, AttemptOutcome::Restarted),
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

/// Guards against a smaller bound on what is read: fe9a16c fills segments up to what a
/// value of 2 KB holds.
#[test]
fn full_segments_are_read_and_written() {
    let text = include_str!("fixtures/fe9a16c_segment_full.txt").trim_end();
    assert!(text.len() + 2 <= 2048 && text.len() > 1900, "{} characters", text.len());
    assert!(text.len() * 3 / 4 <= segment_capacity(2048));
    let gang = job("job-g.1");
    let rows = (0..71)
        .map(|n| assigned(&gang, n, &format!("n-{:06}", n / 4), 1, TOKEN + 128 + u64::from(n)))
        .collect();
    let expected = Segment { sequence: 301, assignments: rows, ..Segment::default() };
    assert_eq!(decode(text), Ok(expected.clone()));
    assert_eq!(encode(&expected), text);
}

/// Guards against a log that this version's leader reads otherwise, and against one that
/// it writes otherwise: every segment of the fixture becomes the same text again.
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
        let segment = decode(text).expect("a segment");
        assert_eq!(segment.sequence, sequence, "{key}");
        assert_eq!(&encode(&segment), text, "{key}");
        log.push(segment);
    }
    assert_eq!(log.len(), 13);
    // The second leader overwrites the slots that hold no newest record any more.
    assert_eq!((texts[11].0.as_str(), texts[12].0.as_str()), ("gl/000000", "gl/000001"));

    let (first, second) = (job("job-g_2"), job("job-g.1"));
    let of = |segment: &Segment, job: &JobId| -> Vec<(u32, u64, String)> {
        let rows = segment.assignments.iter().filter(|row| row.job == *job);
        rows.map(|row| (row.index, row.attempt, row.machine.clone())).collect()
    };
    let on = |index: u32, attempt: u64, machine: &str| (index, attempt, machine.to_owned());
    // Begun, stopped with its machine, begun anew under another number.
    assert_eq!(
        of(&log[0], &first),
        [on(0, FIRST_LEADER, "n-000001"), on(1, FIRST_LEADER + 1, "n-000001")]
    );
    assert_eq!(
        of(&log[6], &first),
        [on(0, FIRST_LEADER + 12, "n-000002"), on(1, FIRST_LEADER + 13, "n-000002")]
    );
    let ends = |segment: &Segment| -> Vec<(u32, u64, AttemptOutcome)> {
        segment.releases.iter().map(|row| (row.index, row.attempt, row.outcome)).collect()
    };
    assert_eq!(
        ends(&log[5]),
        [
            (0, FIRST_LEADER, AttemptOutcome::Requeued),
            (1, FIRST_LEADER + 1, AttemptOutcome::Requeued)
        ]
    );
    // Done with its first task; the others are released as they are proved to be gone.
    assert_eq!(
        of(&log[2], &second),
        [
            on(0, FIRST_LEADER + 9, "n-000004"),
            on(1, FIRST_LEADER + 10, "n-000005"),
            on(2, FIRST_LEADER + 11, "n-000005"),
        ]
    );
    assert_eq!(ends(&log[7]), [(0, FIRST_LEADER + 9, AttemptOutcome::Done)]);
    assert_eq!(
        ends(&log[8]),
        [
            (1, FIRST_LEADER + 10, AttemptOutcome::Done),
            (2, FIRST_LEADER + 11, AttemptOutcome::Done)
        ]
    );
    assert_eq!(
        of(&log[11], &job("job-g.5")),
        [on(0, SECOND_LEADER, "n-000002"), on(1, SECOND_LEADER + 1, "n-000002")]
    );
}

/// Guards against stored values that are read otherwise than fe9a16c meant them.
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
        (store.options.len(), store.options["beta"], store.options["idle_s"]),
        (11, 1.5, 200.0)
    );
    assert_eq!(store.drain_orders.keys().collect::<Vec<_>>(), ["n-000001"]);

    let shapes = ["job-a-3", "job-g.1", "job-g.5", "job-g_2", "job-s.4"].map(|id| {
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
    assert_eq!((store.jobs.len(), shapes), (5, expected));
    let gang = &store.jobs[&job("job-g.1")].spec;
    assert_eq!((gang.checkpoint_interval_s, gang.checkpoint_write_s), (5.0, 2.0));
    assert_eq!(store.jobs[&job("job-g.1")].accepted_at, Some(3.305527));

    let final_states = ["job-a-3", "job-g.1", "job-g.5", "job-g_2", "job-s.4"]
        .map(|id| store.final_states[&job(id)]);
    let (done, cancelled) = (JobState::Done, JobState::Cancelled);
    assert_eq!(final_states, [done, done, done, cancelled, cancelled]);
}

/// Guards against values that fe9a16c could not read back: this version writes the same.
#[test]
fn values_are_written_as_by_fe9a16c() {
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
