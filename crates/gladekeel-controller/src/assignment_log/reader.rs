//! Decoding of segments.

use super::{
    layout::{
        AssignmentRow, JobRow, MAGIC, MachineIncarnation, MachineRow, ProgressPageRow, ReleaseRow,
        SegmentHeader,
    },
    records::{Assignment, ProgressPage, Release, Segment, UnknownOutcome},
};
use base64::{DecodeError, Engine, engine::general_purpose::STANDARD_NO_PAD};
use gladekeel_wire::{InvalidId, JobId};
use std::{fmt, str::Utf8Error};
use zerocopy::{FromBytes, Immutable, KnownLayout, Unaligned, little_endian::U16};

/// Why a stored value cannot be decoded as a segment in the layout of this controller version.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UnreadableSegment {
    /// The text is not base64 without padding.
    #[error("not base64: {0}")]
    NotBase64(#[from] DecodeError),
    /// The segment is shorter than its header says.
    #[error("truncated: the {0} are incomplete")]
    Truncated(SegmentPart),
    /// The value has another layout or is not a segment at all.
    #[error("wrong magic number: found {found:#010x}, expected {MAGIC:#010x}")]
    WrongMagic {
        /// The number found in place of the magic number.
        found: u32,
    },
    /// A job id or a machine name is not valid UTF-8.
    #[error("a name is not valid UTF-8: {0}")]
    NameNotText(#[from] Utf8Error),
    /// The name of a job is not a valid job id.
    #[error(transparent)]
    InvalidJobId(#[from] InvalidId),
    /// A row refers to a job by its position, and the segment has no job at that position.
    #[error("a row refers to the job at position {0}, which the segment does not contain")]
    UnknownJob(u16),
    /// A row refers to a machine by its position, and the segment has no machine at that position.
    #[error("a row refers to the machine at position {0}, which the segment does not contain")]
    UnknownMachine(u16),
    /// A release has an outcome number that this controller version does not know.
    #[error(transparent)]
    UnknownOutcome(#[from] UnknownOutcome),
    /// The value is longer than the header of the segment says.
    #[error("{0} unexpected bytes after the end of the segment")]
    TrailingBytes(usize),
}

/// A part of a segment's layout, named by [`UnreadableSegment::Truncated`] when it is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentPart {
    /// The header of the segment.
    Header,
    /// The rows for jobs, machines, assignments, releases or progress pages.
    Rows,
    /// The job ids and machine names.
    Names,
    /// The bitmaps of progress pages.
    Bitmaps,
}

impl fmt::Display for SegmentPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SegmentPart::Header => "bytes of the header",
            SegmentPart::Rows => "rows",
            SegmentPart::Names => "names",
            SegmentPart::Bitmaps => "bitmaps",
        })
    }
}

/// Decodes a segment from the text in the store.
///
/// # Errors
///
/// Returns an error if the text is not exactly one segment in the layout of this controller
/// version. The decoder makes no guesses: a leader that took a damaged segment for a shorter one
/// would start tasks that are already running.
pub fn decode(text: &str) -> Result<Segment, UnreadableSegment> {
    let bytes = STANDARD_NO_PAD.decode(text)?;
    let mut input = UndecodedBytes(&bytes);
    let header = input.take_header()?;
    let rows = Rows::take(header, &mut input)?;
    let names = Names::take(&rows, &mut input)?;
    let segment = Segment {
        sequence: header.sequence.get(),
        assignments: decode_assignments(rows.assignments, &names)?,
        releases: decode_releases(rows.releases, &names)?,
        progress_pages: decode_progress_pages(rows.progress_pages, &names, &mut input)?,
    };
    input.expect_end()?;
    Ok(segment)
}

fn decode_assignments(
    rows: &[AssignmentRow],
    names: &Names,
) -> Result<Vec<Assignment>, UnreadableSegment> {
    let decode_row = |row: &AssignmentRow| {
        let MachineIncarnation { name: machine, incarnation } = names.machine(row.machine)?;
        Ok(Assignment {
            job: names.job(row.job)?,
            index: row.task_index.get(),
            machine,
            incarnation,
            attempt: row.attempt.get(),
        })
    };
    rows.iter().map(decode_row).collect()
}

fn decode_releases(rows: &[ReleaseRow], names: &Names) -> Result<Vec<Release>, UnreadableSegment> {
    let decode_row = |row: &ReleaseRow| {
        Ok(Release {
            job: names.job(row.job)?,
            index: row.task_index.get(),
            attempt: row.attempt.get(),
            outcome: row.outcome.get().try_into()?,
        })
    };
    rows.iter().map(decode_row).collect()
}

fn decode_progress_pages(
    rows: &[ProgressPageRow],
    names: &Names,
    input: &mut UndecodedBytes<'_>,
) -> Result<Vec<ProgressPage>, UnreadableSegment> {
    let decode_row = |row: &ProgressPageRow| {
        Ok(ProgressPage {
            job: names.job(row.job)?,
            page: row.page.get().into(),
            done: input.take_bytes(row.done_len, SegmentPart::Bitmaps)?.to_vec(),
            restarted: input.take_bytes(row.restarted_len, SegmentPart::Bitmaps)?.to_vec(),
        })
    };
    rows.iter().map(decode_row).collect()
}

/// The bytes of a segment that have not been decoded yet. Each `take` method removes a part from
/// the front.
struct UndecodedBytes<'a>(&'a [u8]);

impl<'a> UndecodedBytes<'a> {
    fn take_header(&mut self) -> Result<&'a SegmentHeader, UnreadableSegment> {
        let (header, rest) = SegmentHeader::ref_from_prefix(self.0)
            .map_err(|_| UnreadableSegment::Truncated(SegmentPart::Header))?;
        let found = header.magic.get();
        if found != MAGIC {
            return Err(UnreadableSegment::WrongMagic { found });
        }
        self.0 = rest;
        Ok(header)
    }

    fn take_rows<R: FromBytes + KnownLayout + Immutable + Unaligned>(
        &mut self,
        count: U16,
    ) -> Result<&'a [R], UnreadableSegment> {
        let (rows, rest) = <[R]>::ref_from_prefix_with_elems(self.0, usize::from(count.get()))
            .map_err(|_| UnreadableSegment::Truncated(SegmentPart::Rows))?;
        self.0 = rest;
        Ok(rows)
    }

    fn take_bytes(&mut self, count: U16, part: SegmentPart) -> Result<&'a [u8], UnreadableSegment> {
        let (taken, rest) = self
            .0
            .split_at_checked(usize::from(count.get()))
            .ok_or(UnreadableSegment::Truncated(part))?;
        self.0 = rest;
        Ok(taken)
    }

    fn take_name(&mut self, length: U16) -> Result<&'a str, UnreadableSegment> {
        Ok(std::str::from_utf8(self.take_bytes(length, SegmentPart::Names)?)?)
    }

    fn expect_end(&self) -> Result<(), UnreadableSegment> {
        match self.0.len() {
            0 => Ok(()),
            trailing => Err(UnreadableSegment::TrailingBytes(trailing)),
        }
    }
}

/// All rows of a segment, by kind.
struct Rows<'a> {
    jobs: &'a [JobRow],
    machines: &'a [MachineRow],
    assignments: &'a [AssignmentRow],
    releases: &'a [ReleaseRow],
    progress_pages: &'a [ProgressPageRow],
}

impl<'a> Rows<'a> {
    fn take(
        header: &SegmentHeader,
        input: &mut UndecodedBytes<'a>,
    ) -> Result<Rows<'a>, UnreadableSegment> {
        Ok(Rows {
            jobs: input.take_rows(header.jobs)?,
            machines: input.take_rows(header.machines)?,
            assignments: input.take_rows(header.assignments)?,
            releases: input.take_rows(header.releases)?,
            progress_pages: input.take_rows(header.progress_pages)?,
        })
    }
}

/// The jobs and machines of a segment, in row order. Other rows refer to them by position.
struct Names {
    jobs: Vec<JobId>,
    machines: Vec<MachineIncarnation>,
}

impl Names {
    fn take(rows: &Rows<'_>, input: &mut UndecodedBytes<'_>) -> Result<Names, UnreadableSegment> {
        let mut jobs = Vec::with_capacity(rows.jobs.len());
        for row in rows.jobs {
            jobs.push(input.take_name(row.name_len)?.parse()?);
        }
        let mut machines = Vec::with_capacity(rows.machines.len());
        for row in rows.machines {
            let name = input.take_name(row.name_len)?.to_owned();
            machines.push(MachineIncarnation { name, incarnation: row.incarnation.get() });
        }
        Ok(Names { jobs, machines })
    }

    fn job(&self, position: U16) -> Result<JobId, UnreadableSegment> {
        let position = position.get();
        let job = self.jobs.get(usize::from(position));
        job.cloned().ok_or(UnreadableSegment::UnknownJob(position))
    }

    fn machine(&self, position: U16) -> Result<MachineIncarnation, UnreadableSegment> {
        let position = position.get();
        let machine = self.machines.get(usize::from(position));
        machine.cloned().ok_or(UnreadableSegment::UnknownMachine(position))
    }
}
