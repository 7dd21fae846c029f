//! Encoding of segments.

use super::{
    AttemptOutcome,
    layout::{
        AssignmentRow, JobRow, MAGIC, MachineIncarnation, MachineRow, ProgressPageRow, ReleaseRow,
        SegmentHeader,
    },
    records::Assignment,
};
use crate::task_bitmap::PAGE_BYTES;
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use gladekeel_sched::Interner;
use gladekeel_wire::JobId;
use zerocopy::{IntoBytes, little_endian::U16};

/// Upper bound of the size of a segment in bytes. Row counts and lengths have 16 bits, so the bound
/// is below 65,536.
const MAX_SEGMENT_BYTES: usize = 60_000;
/// Bytes of a stored value that the text of a segment cannot use: the quotes around the text, and
/// some reserve.
const VALUE_OVERHEAD_BYTES: usize = 16;
/// Upper bound of the bytes that a progress page adds to a segment, without its two bitmaps.
const PROGRESS_PAGE_OVERHEAD_BYTES: usize = 128;

/// Upper bound of the bytes that a progress page adds to a segment.
pub const MAX_PROGRESS_PAGE_BYTES: usize = 2 * PAGE_BYTES + PROGRESS_PAGE_OVERHEAD_BYTES;

/// The largest size of a segment, in bytes before base64, whose text fits into a stored value of
/// `value_bytes` bytes.
pub fn segment_capacity(value_bytes: usize) -> usize {
    // Base64 encodes three bytes as four characters.
    (value_bytes.saturating_sub(VALUE_OVERHEAD_BYTES) / 4 * 3).min(MAX_SEGMENT_BYTES)
}

/// Upper bound of the bytes that an assignment adds to a segment: its own row, and the rows and
/// names of its job and machine if the segment does not contain them yet. A release adds fewer
/// bytes.
pub fn max_assignment_bytes(job: &JobId, machine: &str) -> usize {
    let job_bytes = size_of::<JobRow>() + job.as_str().len();
    let machine_bytes = size_of::<MachineRow>() + machine.len();
    size_of::<AssignmentRow>() + job_bytes + machine_bytes
}

/// An [`Assignment`] that is to be written, with borrowed names.
#[derive(Debug, Clone, Copy)]
pub struct AssignmentRef<'a> {
    /// The job of the task.
    pub job: &'a JobId,
    /// The task's index within its job.
    pub index: u32,
    /// The name of the machine.
    pub machine: &'a str,
    /// The incarnation of the worker on the machine.
    pub incarnation: u64,
    /// The id of the attempt as stored in the log.
    pub attempt: u64,
}

impl<'a> From<&'a Assignment> for AssignmentRef<'a> {
    fn from(assignment: &'a Assignment) -> AssignmentRef<'a> {
        AssignmentRef {
            job: &assignment.job,
            index: assignment.index,
            machine: &assignment.machine,
            incarnation: assignment.incarnation,
            attempt: assignment.attempt,
        }
    }
}

/// Builds one segment row by row.
///
/// The writer does not limit the size of the segment. Before adding a row, callers must check that
/// [`SegmentWriter::size`] plus [`max_assignment_bytes`] or [`MAX_PROGRESS_PAGE_BYTES`] does not
/// exceed [`segment_capacity`].
#[derive(Debug, Default)]
pub struct SegmentWriter {
    jobs: Interner<JobId>,
    machines: Interner<MachineIncarnation>,
    assignment_rows: Vec<u8>,
    release_rows: Vec<u8>,
    progress_page_rows: Vec<u8>,
    bitmaps: Vec<u8>,
    /// Total length of the job ids and machine names, in bytes.
    name_bytes: usize,
}

impl SegmentWriter {
    /// The size of the segment so far, in bytes before base64.
    pub fn size(&self) -> usize {
        size_of::<SegmentHeader>()
            + self.jobs.len() * size_of::<JobRow>()
            + self.machines.len() * size_of::<MachineRow>()
            + self.assignment_rows.len()
            + self.release_rows.len()
            + self.progress_page_rows.len()
            + self.bitmaps.len()
            + self.name_bytes
    }

    /// Adds an assignment.
    pub fn push_assignment(&mut self, assignment: AssignmentRef<'_>) {
        let row = AssignmentRow {
            attempt: assignment.attempt.into(),
            task_index: assignment.index.into(),
            job: self.intern_job(assignment.job),
            machine: self.intern_machine(assignment.machine, assignment.incarnation),
        };
        self.assignment_rows.extend_from_slice(row.as_bytes());
    }

    /// Adds a release.
    pub fn push_release(&mut self, job: &JobId, index: u32, attempt: u64, outcome: AttemptOutcome) {
        let row = ReleaseRow {
            attempt: attempt.into(),
            task_index: index.into(),
            job: self.intern_job(job),
            outcome: u16::from(outcome).into(),
        };
        self.release_rows.extend_from_slice(row.as_bytes());
    }

    /// Adds a progress page with its two bitmaps.
    pub fn push_progress_page(&mut self, job: &JobId, page: u32, done: &[u8], restarted: &[u8]) {
        let row = ProgressPageRow {
            job: self.intern_job(job),
            page: (page as u16).into(),
            done_len: length(done),
            restarted_len: length(restarted),
        };
        self.progress_page_rows.extend_from_slice(row.as_bytes());
        self.bitmaps.extend_from_slice(done);
        self.bitmaps.extend_from_slice(restarted);
    }

    /// Encodes the segment as the text to be stored. `sequence` is the segment's sequence number.
    pub fn encode(&self, sequence: u64) -> String {
        let mut segment = Vec::with_capacity(self.size());
        segment.extend_from_slice(self.header(sequence).as_bytes());
        self.write_rows(&mut segment);
        self.write_names(&mut segment);
        segment.extend_from_slice(&self.bitmaps);
        STANDARD_NO_PAD.encode(segment)
    }

    fn header(&self, sequence: u64) -> SegmentHeader {
        SegmentHeader {
            magic: MAGIC.into(),
            jobs: (self.jobs.len() as u16).into(),
            machines: (self.machines.len() as u16).into(),
            assignments: row_count::<AssignmentRow>(&self.assignment_rows),
            releases: row_count::<ReleaseRow>(&self.release_rows),
            progress_pages: row_count::<ProgressPageRow>(&self.progress_page_rows),
            reserved: 0.into(),
            sequence: sequence.into(),
        }
    }

    fn write_rows(&self, segment: &mut Vec<u8>) {
        for job in self.jobs.names() {
            let row = JobRow { name_len: length(job.as_str().as_bytes()) };
            segment.extend_from_slice(row.as_bytes());
        }
        for machine in self.machines.names() {
            let row = MachineRow {
                incarnation: machine.incarnation.into(),
                name_len: length(machine.name.as_bytes()),
            };
            segment.extend_from_slice(row.as_bytes());
        }
        segment.extend_from_slice(&self.assignment_rows);
        segment.extend_from_slice(&self.release_rows);
        segment.extend_from_slice(&self.progress_page_rows);
    }

    fn write_names(&self, segment: &mut Vec<u8>) {
        for job in self.jobs.names() {
            segment.extend_from_slice(job.as_str().as_bytes());
        }
        for machine in self.machines.names() {
            segment.extend_from_slice(machine.name.as_bytes());
        }
    }

    /// Returns the position of a job's row, adding the row if there is none yet.
    fn intern_job(&mut self, job: &JobId) -> U16 {
        let rows_before = self.jobs.len();
        let position = self.jobs.intern(job);
        if self.jobs.len() > rows_before {
            self.name_bytes += job.as_str().len();
        }
        (position as u16).into()
    }

    /// Returns the position of a machine's row, adding the row if there is none yet.
    fn intern_machine(&mut self, name: &str, incarnation: u64) -> U16 {
        let rows_before = self.machines.len();
        let position =
            self.machines.intern(&MachineIncarnation { name: name.to_owned(), incarnation });
        if self.machines.len() > rows_before {
            self.name_bytes += name.len();
        }
        (position as u16).into()
    }
}

/// The number of rows of type `R` in the encoded `rows`.
fn row_count<R>(rows: &[u8]) -> U16 {
    U16::new((rows.len() / size_of::<R>()) as u16)
}

/// The length of a name or a bitmap, as stored in its row.
fn length(bytes: &[u8]) -> U16 {
    U16::new(bytes.len() as u16)
}
