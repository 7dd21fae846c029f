//! A machine: what the cloud, its worker and the log say of it.

use super::AttemptId;
use gladekeel_sched::Resources;
use gladekeel_sched::{ImageIdx, MachineTypeIdx, ZoneIdx};
use gladekeel_wire::{cloud::MachineState, worker::Command};
use std::collections::{BTreeMap, BTreeSet};

/// Why a machine is to be deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeletionReason {
    /// The cloud takes it.
    SpotTermination,
    /// Operators wanted it drained, and it is empty.
    Drained,
    /// It answers direct requests, but no controller hears its reports.
    OutboundPartition,
    /// It neither reports nor answers.
    HeartbeatTimeout,
    /// It has not come up in time.
    BootTimeout,
    /// The cloud lists it as failed.
    Failed,
    /// The cloud lists it no more.
    NoLongerListed,
    /// Its reports show nothing of the answers to them, and it does not answer.
    InboundPartition,
    /// Tasks fail on it.
    RepeatedTaskFailures,
    /// It is idle and not needed.
    Idle,
    /// A task of a cancelled job may still be on it.
    CancelledTaskMayRun,
}

/// What the answer to a report was to bring about. A worker takes an answer before
/// it sends its next report, so that the next one shows whether it was heard.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ExpectedEffects {
    /// A token that the worker had not seen.
    pub token_seen: bool,
    /// Attempts to start.
    pub starts: Vec<u64>,
    /// Attempts to forget.
    pub forgets: Vec<u64>,
}

impl ExpectedEffects {
    /// What an answer with these commands is to bring about. `settled` tells that the worker
    /// has seen the token already.
    pub fn of_response(commands: &[Command], settled: bool) -> ExpectedEffects {
        let mut awaited = ExpectedEffects { token_seen: !settled, ..ExpectedEffects::default() };
        for command in commands {
            match command {
                Command::Start { attempt, .. } => awaited.starts.push(*attempt),
                Command::Forget { attempt, .. } => awaited.forgets.push(*attempt),
                Command::Stop { .. } => {}
            }
        }
        awaited
    }
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its type, once known.
    pub machine_type: Option<MachineTypeIdx>,
    /// Its zone, once known.
    pub zone: Option<ZoneIdx>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The worker's address.
    pub addr: Option<String>,
    /// Session and number of the newest report.
    pub newest_message: (u64, u64),
    /// Highest token that the worker said it has seen.
    pub highest_token_seen: u64,
    /// When it was last heard: a report, or an answer to a direct request.
    pub last_seen: Option<f64>,
    /// When it last reported by itself, and in which incarnation. Answers to direct
    /// requests renew no lease.
    pub last_heartbeat: (f64, u64),
    /// Since when it has answered direct requests without reporting.
    pub answering_probes_since: Option<f64>,
    /// From when silence counts: the last report, or the takeover.
    pub silent_since: f64,
    /// When the cloud takes it, if it said so.
    pub termination_at: Option<f64>,
    /// When it was rented, as far as known.
    pub rented_at: f64,
    /// Whether the list has shown it.
    pub listed: bool,
    /// What the list says.
    pub listed_state: Option<MachineState>,
    /// Lists in a row that lacked it although it had been listed.
    pub missing_from_lists: u32,
    /// Why it should be deleted, if it should.
    pub deletion_reason: Option<DeletionReason>,
    /// Whether a deletion was sent: it gets no more work, whatever comes of it.
    pub deletion_requested: bool,
    /// Whether the deletion is confirmed.
    pub deleted: bool,
    /// Whether operators want it drained.
    pub draining: bool,
    /// Whether it is kept for gangs that should start at once.
    pub warm_pool: bool,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// Not used for new work before this time.
    pub quarantined_until: f64,
    /// Since when it has no attempt.
    pub idle_since: f64,
    /// Attempts on it.
    pub attempts: BTreeSet<AttemptId>,
    /// What they take.
    pub requested: Resources,
    /// What the last answer to its report was to bring about.
    pub expected_effects: ExpectedEffects,
    /// Reports in a row that show nothing of what the answers before them said.
    pub missed_acks: u32,
    /// Direct commands in a row that had no answer.
    pub unanswered_commands: u32,
    /// Since when it has answered none of several, while silent.
    pub unresponsive_since: Option<f64>,
    /// When it last answered a direct request.
    pub last_probe_answer: Option<f64>,
    /// Since when others of its zone have answered meanwhile.
    pub suspect_since: Option<f64>,
    /// Whether something else than its reports says that it is there.
    pub confirmed: bool,
    /// Attempts whose `run` was sent directly and may still arrive; since when there
    /// has been no answer, once that is so.
    pub unsettled_starts: BTreeMap<AttemptId, Option<f64>>,
    /// Whether a direct command is under way.
    pub command_in_flight: bool,
    /// Images that it should have, oldest use first, with sizes.
    pub images: Vec<(ImageIdx, f64)>,
    /// Images of them that a task has run with.
    pub cached_images: BTreeSet<ImageIdx>,
}

impl Machine {
    pub(super) fn new(name: &str, now: f64) -> Machine {
        Machine {
            name: name.to_owned(),
            machine_type: None,
            zone: None,
            spot: false,
            addr: None,
            newest_message: (0, 0),
            highest_token_seen: 0,
            last_seen: None,
            last_heartbeat: (now, 0),
            answering_probes_since: None,
            silent_since: now,
            termination_at: None,
            rented_at: now,
            listed: false,
            listed_state: None,
            missing_from_lists: 0,
            deletion_reason: None,
            deletion_requested: false,
            deleted: false,
            draining: false,
            warm_pool: false,
            consecutive_failures: 0,
            quarantined_until: 0.0,
            idle_since: now,
            attempts: BTreeSet::new(),
            requested: Resources::default(),
            expected_effects: ExpectedEffects::default(),
            missed_acks: 0,
            unanswered_commands: 0,
            unresponsive_since: None,
            last_probe_answer: None,
            suspect_since: None,
            confirmed: false,
            unsettled_starts: BTreeMap::new(),
            command_in_flight: false,
            images: Vec::new(),
            cached_images: BTreeSet::new(),
        }
    }

    /// Whether its silence would mean something: it has reported, or holds work.
    pub fn should_send_heartbeats(&self) -> bool {
        !self.deleted && (self.last_seen.is_some() || !self.attempts.is_empty())
    }

    /// A machine that the log tells of: it was up before this leader began.
    pub(super) fn recovered(name: &str, now: f64) -> Machine {
        Machine { rented_at: f64::NEG_INFINITY, confirmed: true, ..Machine::new(name, now) }
    }

    /// Whether it was up once, as far as the log or the list say.
    pub(super) fn has_booted(&self) -> bool {
        self.rented_at == f64::NEG_INFINITY || self.listed_state == Some(MachineState::Running)
    }

    /// Whether it gets new work, as far as hearing goes: it must be known from more
    /// than a report, which may be a late copy, and have shown that it hears.
    pub fn is_reachable(&self) -> bool {
        self.confirmed && self.missed_acks == 0
    }

    /// Its state in a word.
    pub fn state(&self) -> &'static str {
        match self {
            Machine { draining: true, deletion_reason: None, .. } => "draining",
            machine if machine.is_leaving() => "leaving",
            Machine { last_seen: None, .. } => "booting",
            Machine { attempts, .. } if attempts.is_empty() => "idle",
            _ => "working",
        }
    }

    /// Whether it is on its way out.
    pub fn is_leaving(&self) -> bool {
        self.deletion_reason.is_some()
            || self.deletion_requested
            || self.deleted
            || self.draining
            || self.termination_at.is_some()
    }

    /// Notes that an image was used, and drops the oldest ones over the cache's size.
    pub(super) fn record_image_use(&mut self, image: ImageIdx, size: f64, cache_gb: f64) {
        self.images.retain(|(other, _)| *other != image);
        self.images.push((image, size));
        let mut total: f64 = self.images.iter().map(|(_, size)| size).sum();
        while total > cache_gb && self.images.len() > 1 {
            let (oldest, size) = self.images.remove(0);
            self.cached_images.remove(&oldest);
            total -= size;
        }
    }
}
