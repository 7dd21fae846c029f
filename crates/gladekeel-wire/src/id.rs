//! Validated names of jobs and tasks.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{fmt, str::FromStr, sync::Arc};

/// Longest accepted job id; well below the 200 bytes of a state-service key.
const MAX_ID: usize = 80;

/// An id that does not have the form the protocol prescribes.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a valid id: {0:?}")]
pub struct InvalidId(pub String);

/// The id of a job: `job-` followed by letters, digits, `_`, `-` or `.`.
///
/// Ids become parts of state-service keys and URL paths, so nothing else is let in.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(Arc<str>);

impl JobId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for JobId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let rest = text.strip_prefix("job-").unwrap_or("");
        let fine = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-' | b'.');
        if rest.is_empty() || text.len() > MAX_ID || !rest.bytes().all(fine) {
            return Err(InvalidId(text.chars().take(MAX_ID).collect()));
        }
        Ok(JobId(text.into()))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        String::deserialize(d)?.parse().map_err(de::Error::custom)
    }
}

/// One task of a job, written `job-000412/3`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number within the job, from 0.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let bad = || InvalidId(text.chars().take(MAX_ID).collect());
        let (job, index) = text.split_once('/').ok_or_else(bad)?;
        // `u32::from_str` takes a plus sign and leading zeros, which are other names for the same task.
        if !index.bytes().all(|b| b.is_ascii_digit()) || (index.len() > 1 && index.starts_with('0'))
        {
            return Err(bad());
        }
        Ok(TaskId { job: job.parse()?, index: index.parse().map_err(|_| bad())? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        String::deserialize(d)?.parse().map_err(de::Error::custom)
    }
}
