//! Segments of the leader's log: which attempts are on which machines, and which
//! tasks have finished.
//!
//! A segment is one value of the state service. It says what has changed since the
//! one before, in a fixed binary layout behind base64:
//!
//! | part | what |
//! | --- | --- |
//! | [`SegmentHeader`] | magic, sequence number, how many rows follow |
//! | job rows, machine rows | names that the other rows refer to by position |
//! | assigned, released, progress rows | what happened |
//! | bytes | the names and the progress rows' bitmaps, one after the other |
//!
//! A segment names all that it speaks of, so that it can be read without any other.

use crate::keys::TASKS_PER_PAGE;
use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use gladekeel_sched::Interner;
use gladekeel_wire::JobId;
use zerocopy::{
    FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned,
    little_endian::{U16, U32, U64},
};

/// Marks a segment and the version of its layout.
const MAGIC: u32 = 0x676b_6c31;

/// The head of a segment.
#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub struct SegmentHeader {
    magic: U32,
    jobs: U16,
    machines: U16,
    assigned: U16,
    released: U16,
    progress: U16,
    spare: U16,
    seq: U64,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct JobRow {
    name_len: U16,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct MachineRow {
    incarnation: U64,
    name_len: U16,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct AssignedRow {
    attempt: U64,
    index: U32,
    job: U16,
    machine: U16,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct ReleasedRow {
    attempt: U64,
    index: U32,
    job: U16,
    end: U16,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct ProgressRow {
    job: U16,
    chunk: U16,
    done_len: U16,
    restarted_len: U16,
}

/// How an attempt ended, as the log tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Its task is done.
    Done = 1,
    /// Its task goes back to the queue.
    Requeued = 2,
    /// Its task goes back as its one restart for slowness.
    Restarted = 3,
}

impl AttemptOutcome {
    fn from_number(number: u16) -> Option<AttemptOutcome> {
        [AttemptOutcome::Done, AttemptOutcome::Requeued, AttemptOutcome::Restarted]
            .into_iter()
            .find(|end| *end as u16 == number)
    }
}

/// An attempt that may be on its machine from now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The job.
    pub job: JobId,
    /// The task.
    pub index: u32,
    /// The machine.
    pub machine: String,
    /// The worker's incarnation there.
    pub incarnation: u64,
    /// The attempt.
    pub attempt: u64,
}

/// An attempt that is off its machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The job.
    pub job: JobId,
    /// The task.
    pub index: u32,
    /// The attempt.
    pub attempt: u64,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// All that is known of a chunk of a job's tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgressPage {
    /// The job.
    pub job: JobId,
    /// The chunk.
    pub page: u32,
    /// Finished tasks.
    pub done: Vec<u8>,
    /// Tasks that were restarted.
    pub restarted: Vec<u8>,
}

/// What a segment says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Segment {
    /// Its place in the log.
    pub sequence: u64,
    /// New assignments, and older ones that are told again.
    pub assignments: Vec<Assignment>,
    /// Releases.
    pub releases: Vec<Release>,
    /// ProgressPage told again.
    pub progress_pages: Vec<ProgressPage>,
}

/// A segment that cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadableSegment;

/// Bytes of a segment that fits a value of `value_bytes` once it is written as text.
pub fn segment_capacity(value_bytes: usize) -> usize {
    // Four characters for three bytes, between quotes, and a little to spare. Rows
    // are counted in 16 bits.
    (value_bytes.saturating_sub(16) / 4 * 3).min(60_000)
}

/// A segment in the making.
#[derive(Debug, Default)]
pub struct SegmentWriter {
    jobs: Interner<JobId>,
    machines: Interner<(String, u64)>,
    assigned: Vec<u8>,
    released: Vec<u8>,
    progress: Vec<u8>,
    bits: Vec<u8>,
    names: usize,
}

/// The most that a row adds: itself and the names it is the first to speak of.
pub fn max_row_bytes(job: &JobId, machine: &str) -> usize {
    let names = size_of::<JobRow>() + job.as_str().len() + size_of::<MachineRow>() + machine.len();
    size_of::<AssignedRow>() + names
}

/// The most that a row of progress adds.
pub const MAX_PROGRESS_ROW_BYTES: usize = TASKS_PER_PAGE as usize / 4 + 128;

impl SegmentWriter {
    /// Its size so far, in bytes.
    pub fn size(&self) -> usize {
        size_of::<SegmentHeader>()
            + self.jobs.len() * size_of::<JobRow>()
            + self.machines.len() * size_of::<MachineRow>()
            + self.assigned.len()
            + self.released.len()
            + self.progress.len()
            + self.bits.len()
            + self.names
    }

    fn job(&mut self, job: &JobId) -> U16 {
        let before = self.jobs.len();
        let index = self.jobs.intern(job);
        if self.jobs.len() > before {
            self.names += job.as_str().len();
        }
        (index as u16).into()
    }

    fn machine(&mut self, machine: &str, incarnation: u64) -> U16 {
        let before = self.machines.len();
        let index = self.machines.intern(&(machine.to_owned(), incarnation));
        if self.machines.len() > before {
            self.names += machine.len();
        }
        (index as u16).into()
    }

    /// Adds an assignment.
    pub fn assign(
        &mut self,
        job: &JobId,
        index: u32,
        machine: &str,
        incarnation: u64,
        attempt: u64,
    ) {
        let (job, machine) = (self.job(job), self.machine(machine, incarnation));
        let row = AssignedRow { attempt: attempt.into(), index: index.into(), job, machine };
        self.assigned.extend_from_slice(row.as_bytes());
    }

    /// Adds a release.
    pub fn release(&mut self, job: &JobId, index: u32, attempt: u64, end: AttemptOutcome) {
        let job = self.job(job);
        let end = (end as u16).into();
        let row = ReleasedRow { attempt: attempt.into(), index: index.into(), job, end };
        self.released.extend_from_slice(row.as_bytes());
    }

    /// Adds all that is known of a chunk.
    pub fn progress(&mut self, job: &JobId, chunk: u32, done: &[u8], restarted: &[u8]) {
        let row = ProgressRow {
            job: self.job(job),
            chunk: (chunk as u16).into(),
            done_len: (done.len() as u16).into(),
            restarted_len: (restarted.len() as u16).into(),
        };
        self.progress.extend_from_slice(row.as_bytes());
        self.bits.extend_from_slice(done);
        self.bits.extend_from_slice(restarted);
    }

    /// The segment as the state service keeps it.
    pub fn encode(&self, seq: u64) -> String {
        let rows = |bytes: &[u8], size: usize| U16::new((bytes.len() / size) as u16);
        let head = SegmentHeader {
            magic: MAGIC.into(),
            jobs: (self.jobs.len() as u16).into(),
            machines: (self.machines.len() as u16).into(),
            assigned: rows(&self.assigned, size_of::<AssignedRow>()),
            released: rows(&self.released, size_of::<ReleasedRow>()),
            progress: rows(&self.progress, size_of::<ProgressRow>()),
            spare: 0.into(),
            seq: seq.into(),
        };
        let mut out = Vec::with_capacity(self.size());
        out.extend_from_slice(head.as_bytes());
        for job in self.jobs.names() {
            let name_len = (job.as_str().len() as u16).into();
            out.extend_from_slice(JobRow { name_len }.as_bytes());
        }
        for (machine, incarnation) in self.machines.names() {
            let row = MachineRow {
                incarnation: (*incarnation).into(),
                name_len: (machine.len() as u16).into(),
            };
            out.extend_from_slice(row.as_bytes());
        }
        out.extend_from_slice(&self.assigned);
        out.extend_from_slice(&self.released);
        out.extend_from_slice(&self.progress);
        for job in self.jobs.names() {
            out.extend_from_slice(job.as_str().as_bytes());
        }
        for (machine, _) in self.machines.names() {
            out.extend_from_slice(machine.as_bytes());
        }
        out.extend_from_slice(&self.bits);
        STANDARD_NO_PAD.encode(out)
    }
}

/// Takes rows off the front.
fn rows<'a, T: FromBytes + KnownLayout + Immutable + Unaligned>(
    rest: &mut &'a [u8],
    count: U16,
) -> Result<&'a [T], UnreadableSegment> {
    let (rows, after) = <[T]>::ref_from_prefix_with_elems(rest, count.get() as usize)
        .map_err(|_| UnreadableSegment)?;
    *rest = after;
    Ok(rows)
}

/// Takes bytes off the front.
fn bytes<'a>(rest: &mut &'a [u8], count: U16) -> Result<&'a [u8], UnreadableSegment> {
    let (taken, after) = rest.split_at_checked(count.get() as usize).ok_or(UnreadableSegment)?;
    *rest = after;
    Ok(taken)
}

/// Reads a segment. Whatever is not exactly one is unreadable: nothing is guessed.
pub fn decode(text: &str) -> Result<Segment, UnreadableSegment> {
    let raw = STANDARD_NO_PAD.decode(text).map_err(|_| UnreadableSegment)?;
    let (head, mut rest) = SegmentHeader::ref_from_prefix(&raw).map_err(|_| UnreadableSegment)?;
    if head.magic.get() != MAGIC {
        return Err(UnreadableSegment);
    }
    let job_rows = rows::<JobRow>(&mut rest, head.jobs)?;
    let machine_rows = rows::<MachineRow>(&mut rest, head.machines)?;
    let assigned = rows::<AssignedRow>(&mut rest, head.assigned)?;
    let released = rows::<ReleasedRow>(&mut rest, head.released)?;
    let progress = rows::<ProgressRow>(&mut rest, head.progress)?;
    let mut text = |len: U16| {
        std::str::from_utf8(bytes(&mut rest, len)?)
            .map(str::to_owned)
            .map_err(|_| UnreadableSegment)
    };
    let jobs: Vec<JobId> = job_rows
        .iter()
        .map(|row| text(row.name_len)?.parse().map_err(|_| UnreadableSegment))
        .collect::<Result<_, _>>()?;
    let machines: Vec<(String, u64)> = machine_rows
        .iter()
        .map(|row| Ok((text(row.name_len)?, row.incarnation.get())))
        .collect::<Result<_, UnreadableSegment>>()?;
    let job = |at: U16| jobs.get(at.get() as usize).cloned().ok_or(UnreadableSegment);
    let mut segment = Segment { sequence: head.seq.get(), ..Segment::default() };
    for row in assigned {
        let (machine, incarnation) =
            machines.get(row.machine.get() as usize).cloned().ok_or(UnreadableSegment)?;
        segment.assignments.push(Assignment {
            job: job(row.job)?,
            index: row.index.get(),
            machine,
            incarnation,
            attempt: row.attempt.get(),
        });
    }
    for row in released {
        segment.releases.push(Release {
            job: job(row.job)?,
            index: row.index.get(),
            attempt: row.attempt.get(),
            outcome: AttemptOutcome::from_number(row.end.get()).ok_or(UnreadableSegment)?,
        });
    }
    for row in progress {
        segment.progress_pages.push(ProgressPage {
            job: job(row.job)?,
            page: row.chunk.get().into(),
            done: bytes(&mut rest, row.done_len)?.to_vec(),
            restarted: bytes(&mut rest, row.restarted_len)?.to_vec(),
        });
    }
    if rest.is_empty() { Ok(segment) } else { Err(UnreadableSegment) }
}
