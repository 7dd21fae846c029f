//! Ids of jobs and tasks, validated when they are parsed.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{fmt, str::FromStr, sync::Arc};

/// Maximum length of a job id in bytes. Store keys contain job ids and are limited to 200 bytes,
/// so the maximum is well below that.
const MAX_ID_LEN: usize = 80;

/// The error for a text that is not an id in the form that the protocol prescribes, with the
/// first 80 characters of the text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a valid id: {0:?}")]
pub struct InvalidId(pub String);

/// The id of a job: `job-` followed by letters, digits, `_`, `-` or `.`.
///
/// Other characters are rejected because ids become parts of store keys and URL paths.
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
        let suffix = text.strip_prefix("job-").unwrap_or("");
        let is_allowed =
            |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'-' | b'.');
        if suffix.is_empty() || text.len() > MAX_ID_LEN || !suffix.bytes().all(is_allowed) {
            return Err(InvalidId(text.chars().take(MAX_ID_LEN).collect()));
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

/// The id of a task: the id of its job and its index in the job, written `job-000412/3`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let invalid = || InvalidId(text.chars().take(MAX_ID_LEN).collect());
        let (job, index) = text.split_once('/').ok_or_else(invalid)?;
        // `u32::from_str` accepts a plus sign and leading zeros, which would give a task several
        // ids.
        let has_leading_zero = index.len() > 1 && index.starts_with('0');
        if has_leading_zero || !index.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(invalid());
        }
        Ok(TaskId { job: job.parse()?, index: index.parse().map_err(|_| invalid())? })
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
