//! Validated ids of jobs and tasks.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::{fmt, str::FromStr, sync::Arc};

/// Maximum length of a job id in bytes; well below the 200 bytes of a store key.
const MAX_ID_LEN: usize = 80;

/// The text, shortened, is not an id in the form that the protocol prescribes.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a valid id: {0:?}")]
pub struct InvalidId(pub String);

/// The id of a job: `job-` followed by letters, digits, `_`, `-` or `.`.
///
/// Ids become parts of store keys and URL paths, so other characters are refused.
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
        let is_allowed =
            |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'-' | b'.');
        if rest.is_empty() || text.len() > MAX_ID_LEN || !rest.bytes().all(is_allowed) {
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

/// The id of a task: its job and its index, written `job-000412/3`.
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
        // `u32::from_str` accepts a plus sign and leading zeros: a second id of the same task.
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
