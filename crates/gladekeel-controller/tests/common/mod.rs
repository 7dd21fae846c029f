//! Helpers that the tests of stored formats share.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

use gladekeel_controller::assignment_log::{
    Assignment, AttemptOutcome, Release, Segment, SegmentWriter,
};
use gladekeel_wire::JobId;
use serde_json::Value;

/// Parses a valid job id.
pub fn job(id: &str) -> JobId {
    id.parse().unwrap()
}

/// Builds an assignment row of a segment.
pub fn assigned(
    job: &JobId,
    index: u32,
    machine: &str,
    incarnation: u64,
    attempt: u64,
) -> Assignment {
    Assignment { job: job.clone(), index, machine: machine.into(), incarnation, attempt }
}

/// Builds a release row of a segment.
pub fn released(job: &JobId, index: u32, attempt: u64, outcome: AttemptOutcome) -> Release {
    Release { job: job.clone(), index, attempt, outcome }
}

/// Creates a segment writer that holds all rows of a segment.
pub fn writer_with_rows(segment: &Segment) -> SegmentWriter {
    let mut writer = SegmentWriter::default();
    for row in &segment.assignments {
        writer.push_assignment(row.into());
    }
    for row in &segment.releases {
        writer.push_release(&row.job, row.index, row.attempt, row.outcome);
    }
    for row in &segment.progress_pages {
        writer.push_progress_page(&row.job, row.page, &row.done, &row.restarted);
    }
    writer
}

/// Encodes a segment to the text that this version writes.
pub fn encode(segment: &Segment) -> String {
    writer_with_rows(segment).encode(segment.sequence)
}

/// Values that an earlier version committed, from a fixture with a key and a value on each line.
pub struct StoredValues(&'static str);

impl StoredValues {
    /// Wraps the text of a fixture.
    pub const fn new(fixture: &'static str) -> StoredValues {
        StoredValues(fixture)
    }

    /// All keys and values, in the order in which they were committed.
    pub fn all(&self) -> Vec<(String, Value)> {
        self.0.lines().map(parse_line).collect()
    }

    /// The first value that was committed under a key.
    pub fn value(&self, key: &str) -> Value {
        let mut values = self.all().into_iter();
        values.find(|(k, _)| k == key).expect("the fixture has this key").1
    }
}

fn parse_line(line: &str) -> (String, Value) {
    let row: Value = serde_json::from_str(line).unwrap();
    (row["key"].as_str().unwrap().to_owned(), row["value"].clone())
}
