//! The layout of the state service's keys and the values behind them.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `gk/job/<id>` | the job's description and when it was accepted | any node, once |
//! | `gk/fate/<id>` | `"done"` or `"aborted"` | the leader, or any node for a cancellation; once |
//! | `gk/progress/<id>/<chunk>` | finished and restarted tasks | the leader |
//! | `gk/assign/<page>` | which attempts are on which machines | the leader |
//! | `gk/leader` | who leads; its version is the fencing token | the leader |
//! | `gk/types` | machine types | the leader |
//! | `gk/options` | the operators' settings | any node, for an operator |
//! | `gk/drain/<machine>` | the machine is to be drained | any node, for an operator |

use gladekeel_wire::JobId;
use serde::{Deserialize, Serialize};

/// Prefix of all keys.
pub const ALL: &str = "gk/";
/// Who leads.
pub const LEADER: &str = "gk/leader";
/// Machine types.
pub const TYPES: &str = "gk/types";
/// The operators' settings.
pub const OPTIONS: &str = "gk/options";
/// Prefix of machines to drain.
pub const DRAIN: &str = "gk/drain/";
/// Prefix of jobs.
pub const JOB: &str = "gk/job/";
/// Field of a stored job: the time of day at which it was accepted.
pub const ACCEPTED_AT: &str = "accepted_at";
/// Prefix of final states.
pub const FATE: &str = "gk/fate/";
/// Prefix of progress.
pub const PROGRESS: &str = "gk/progress/";
/// Prefix of assignment pages.
pub const ASSIGN: &str = "gk/assign/";

/// Tasks per progress chunk: two bitmaps of it in hex stay near 2 KiB.
pub const CHUNK: u32 = 4096;

/// The key of a job.
pub fn job(id: &JobId) -> String {
    format!("{JOB}{id}")
}

/// The key of a job's final state.
pub fn fate(id: &JobId) -> String {
    format!("{FATE}{id}")
}

/// The key of a part of a job's progress.
pub fn progress(id: &JobId, chunk: u32) -> String {
    format!("{PROGRESS}{id}/{chunk}")
}

/// The key that says that a machine is to be drained.
pub fn drain(machine: &str) -> String {
    format!("{DRAIN}{machine}")
}

/// The key of a page of assignments.
pub fn assign(page: usize) -> String {
    format!("{ASSIGN}{page}")
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node's name.
    pub node: String,
    /// Its incarnation: a node that was restarted is another candidate.
    pub run: u64,
}

/// Part of a job's progress.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Finished tasks.
    pub done: String,
    /// Tasks that were restarted for slowness.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub restarted: String,
}

/// An attempt in a page: job, task, attempt.
pub type AssignedTask = (JobId, u32, u64);

/// A machine's attempts in one session.
pub type AssignedMachine = (String, u64, Vec<AssignedTask>);

/// A page of assignments.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct AssignRecord {
    /// Its machines.
    pub m: Vec<AssignedMachine>,
}

/// A set of small numbers that is stored as hex, without trailing zeros.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bits(Vec<u8>);

impl Bits {
    /// Whether `index` is in the set.
    pub fn has(&self, index: u32) -> bool {
        self.0.get(index as usize / 8).is_some_and(|byte| byte >> (index % 8) & 1 == 1)
    }

    /// Adds `index`; tells whether it is new.
    pub fn add(&mut self, index: u32) -> bool {
        let at = index as usize / 8;
        if self.0.len() <= at {
            self.0.resize(at + 1, 0);
        }
        let new = !self.has(index);
        self.0[at] |= 1 << (index % 8);
        new
    }

    /// How many numbers are in the set.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }

    /// The part for one progress chunk, as hex.
    pub fn chunk_hex(&self, chunk: u32) -> String {
        let size = CHUNK as usize / 8;
        let from = (chunk as usize * size).min(self.0.len());
        let part = &self.0[from..(from + size).min(self.0.len())];
        let used = part.iter().rposition(|byte| *byte != 0).map_or(0, |last| last + 1);
        part[..used].iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Adds what a chunk's hex holds, below `limit`. Junk is ignored.
    pub fn add_hex(&mut self, chunk: u32, hex: &str, limit: u32) {
        for (at, pair) in hex.as_bytes().chunks_exact(2).enumerate().take(CHUNK as usize / 8) {
            let digit = |b: u8| char::from(b).to_digit(16).unwrap_or(0);
            let byte = digit(pair[0]) * 16 + digit(pair[1]);
            for bit in (0..8).filter(|bit| byte >> bit & 1 == 1) {
                let index = chunk * CHUNK + at as u32 * 8 + bit;
                if index < limit {
                    self.add(index);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    proptest::proptest! {
        #[test]
        fn bits_survive_their_chunks(set in proptest::collection::btree_set(0u32..100_000, 0..300)) {
            let mut bits = Bits::default();
            for index in &set {
                proptest::prop_assert!(bits.add(*index));
                proptest::prop_assert!(!bits.add(*index));
            }
            let mut back = Bits::default();
            for chunk in 0..=100_000 / CHUNK {
                let hex = bits.chunk_hex(chunk);
                proptest::prop_assert!(hex.len() <= CHUNK as usize / 4);
                back.add_hex(chunk, &hex, 100_000);
            }
            proptest::prop_assert_eq!(back.count() as usize, set.len());
            proptest::prop_assert!(set.iter().all(|index| back.has(*index)));
        }
    }
}
