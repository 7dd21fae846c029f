//! A machine: what the cloud, its worker and the log say of it.

use super::AttemptId;
use gladekeel_sched::Resources;
use gladekeel_wire::{cloud::MachineState, worker::Command};
use std::collections::{BTreeMap, BTreeSet};

/// Why a machine is to be deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeletionReason {
    /// The cloud takes it.
    Taken,
    /// Operators wanted it drained, and it is empty.
    Drained,
    /// It answers direct requests, but no controller hears its reports.
    ReportsToNobody,
    /// It neither reports nor answers.
    Silent,
    /// It has not come up in time.
    NeverCameUp,
    /// The cloud lists it as failed.
    Failed,
    /// The cloud lists it no more.
    NoLongerListed,
    /// Its reports show nothing of the answers to them, and it does not answer.
    HearsNothing,
    /// Tasks fail on it.
    FailsTasks,
    /// It is idle and not needed.
    Idle,
    /// A task of a cancelled job may still be on it.
    RunsCancelled,
}

/// What the answer to a report was to bring about. A worker takes an answer before
/// it sends its next report, so that the next one shows whether it was heard.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Awaited {
    /// A token that the worker had not seen.
    pub token: bool,
    /// Attempts to start.
    pub starts: Vec<u64>,
    /// Attempts to forget.
    pub forgets: Vec<u64>,
}

impl Awaited {
    /// What an answer with these commands is to bring about. `settled` tells that the worker
    /// has seen the token already.
    pub fn after(commands: &[Command], settled: bool) -> Awaited {
        let mut awaited = Awaited { token: !settled, ..Awaited::default() };
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
    pub kind: Option<u32>,
    /// Its zone, once known.
    pub zone: Option<u32>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The worker's address.
    pub addr: Option<String>,
    /// Session and number of the newest report.
    pub newest: (u64, u64),
    /// Highest token that the worker said it has seen.
    pub token: u64,
    /// When it was last heard: a report, or an answer to a direct request.
    pub heard_at: Option<f64>,
    /// When it last reported by itself, and in which session. Answers to direct
    /// requests renew no lease.
    pub reported: (f64, u64),
    /// Since when it has answered direct requests without reporting.
    pub answers_since: Option<f64>,
    /// From when silence counts: the last report, or the takeover.
    pub quiet_since: f64,
    /// When the cloud takes it, if it said so.
    pub leaves_at: Option<f64>,
    /// When it was rented, as far as known.
    pub rented_at: f64,
    /// Whether the list has shown it.
    pub listed: bool,
    /// What the list says.
    pub list_state: Option<MachineState>,
    /// Lists in a row that lacked it although it had been listed.
    pub missing: u32,
    /// Why it should be deleted, if it should.
    pub delete: Option<DeletionReason>,
    /// Whether a deletion was sent: it gets no more work, whatever comes of it.
    pub delete_sent: bool,
    /// Whether the deletion is confirmed.
    pub gone: bool,
    /// Whether operators want it drained.
    pub drained: bool,
    /// Whether it is kept for gangs that should start at once.
    pub standby: bool,
    /// Failures in a row.
    pub failures: u32,
    /// Not used for new work before this time.
    pub hold_until: f64,
    /// Since when it has no attempt.
    pub idle_since: f64,
    /// Attempts on it.
    pub attempts: BTreeSet<AttemptId>,
    /// What they take.
    pub used: Resources,
    /// What the last answer to its report was to bring about.
    pub awaited: Awaited,
    /// Reports in a row that show nothing of what the answers before them said.
    pub unheard_answers: u32,
    /// Direct commands in a row that had no answer.
    pub unanswered: u32,
    /// Since when it has answered none of several, while silent.
    pub mute_since: Option<f64>,
    /// When it last answered a direct request.
    pub answered_at: Option<f64>,
    /// Since when others of its zone have answered meanwhile.
    pub suspect_since: Option<f64>,
    /// Whether something else than its reports says that it is there.
    pub confirmed: bool,
    /// Attempts whose `run` was sent directly and may still arrive; since when there
    /// has been no answer, once that is so.
    pub open_starts: BTreeMap<AttemptId, Option<f64>>,
    /// Whether a direct command is under way.
    pub direct_in_flight: bool,
    /// Images that it should have, oldest use first, with sizes.
    pub images: Vec<(u32, f64)>,
    /// Images of them that a task has run with.
    pub ready: BTreeSet<u32>,
}

impl Machine {
    pub(super) fn new(name: &str, now: f64) -> Machine {
        Machine {
            name: name.to_owned(),
            kind: None,
            zone: None,
            spot: false,
            addr: None,
            newest: (0, 0),
            token: 0,
            heard_at: None,
            reported: (now, 0),
            answers_since: None,
            quiet_since: now,
            leaves_at: None,
            rented_at: now,
            listed: false,
            list_state: None,
            missing: 0,
            delete: None,
            delete_sent: false,
            gone: false,
            drained: false,
            standby: false,
            failures: 0,
            hold_until: 0.0,
            idle_since: now,
            attempts: BTreeSet::new(),
            used: Resources::default(),
            awaited: Awaited::default(),
            unheard_answers: 0,
            unanswered: 0,
            mute_since: None,
            answered_at: None,
            suspect_since: None,
            confirmed: false,
            open_starts: BTreeMap::new(),
            direct_in_flight: false,
            images: Vec::new(),
            ready: BTreeSet::new(),
        }
    }

    /// Whether its silence would mean something: it has reported, or holds work.
    pub fn should_report(&self) -> bool {
        !self.gone && (self.heard_at.is_some() || !self.attempts.is_empty())
    }

    /// A machine that the log tells of: it was up before this leader began.
    pub(super) fn restored(name: &str, now: f64) -> Machine {
        Machine { rented_at: f64::NEG_INFINITY, confirmed: true, ..Machine::new(name, now) }
    }

    /// Whether it was up once, as far as the log or the list say.
    pub(super) fn was_up(&self) -> bool {
        self.rented_at == f64::NEG_INFINITY || self.list_state == Some(MachineState::Running)
    }

    /// Whether it gets new work, as far as hearing goes: it must be known from more
    /// than a report, which may be a late copy, and have shown that it hears.
    pub fn hears(&self) -> bool {
        self.confirmed && self.unheard_answers == 0
    }

    /// Its state in a word.
    pub fn state(&self) -> &'static str {
        match self {
            Machine { drained: true, delete: None, .. } => "draining",
            machine if machine.leaving() => "leaving",
            Machine { heard_at: None, .. } => "booting",
            Machine { attempts, .. } if attempts.is_empty() => "idle",
            _ => "working",
        }
    }

    /// Whether it is on its way out.
    pub fn leaving(&self) -> bool {
        self.delete.is_some()
            || self.delete_sent
            || self.gone
            || self.drained
            || self.leaves_at.is_some()
    }

    /// Notes that an image was used, and drops the oldest ones over the cache's size.
    pub(super) fn used_image(&mut self, image: u32, size: f64, cache_gb: f64) {
        self.images.retain(|(other, _)| *other != image);
        self.images.push((image, size));
        let mut total: f64 = self.images.iter().map(|(_, size)| size).sum();
        while total > cache_gb && self.images.len() > 1 {
            let (oldest, size) = self.images.remove(0);
            self.ready.remove(&oldest);
            total -= size;
        }
    }
}
