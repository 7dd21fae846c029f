//! Jobs, attempts and machines as the leader sees them.

pub use crate::log::End as Outcome;
use crate::{keys::Bits, world::StoredJob};
use gladekeel_sched::{Interner, Room, restart};
use gladekeel_wire::{
    JobId,
    cloud::{MachineState, MachineType, MachineTypes},
    job::{JobSpec, JobState, Kind},
    settings::Params,
    worker::TaskState,
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
};

/// Finished runs that are kept to tell a job's median.
const RUNS_KEPT: usize = 64;

/// Names of teams, zones, types and images, as indices.
#[derive(Debug, Default)]
pub(super) struct Catalog {
    pub teams: Interner<String>,
    pub zones: Interner<String>,
    pub kinds: Interner<String>,
    pub images: Interner<String>,
    /// By kind; none for kinds that jobs name but the cloud does not.
    pub types: Vec<Option<MachineType>>,
}

impl Catalog {
    /// Gets ready for a new token. Names keep their indices, since what is known of machines
    /// goes on and speaks of kinds, zones and images by them.
    pub fn renew(&mut self, params: &Params, types: Option<&MachineTypes>) {
        for team in &params.teams {
            self.teams.intern(&team.name);
        }
        for zone in &params.zones {
            self.zones.intern(zone);
        }
        self.types.fill(None);
        if let Some(types) = types {
            self.learn(types);
        }
    }

    pub fn learn(&mut self, types: &MachineTypes) {
        for machine_type in &types.types {
            let kind = self.kind(&machine_type.name);
            self.types[kind as usize] = Some(machine_type.clone());
            for zone in &machine_type.zones {
                self.zones.intern(zone);
            }
        }
    }

    pub fn kind(&mut self, name: &str) -> u32 {
        let kind = self.kinds.intern(&name.to_owned());
        if self.types.len() <= kind as usize {
            self.types.resize(kind as usize + 1, None);
        }
        kind
    }

    /// A kind's type, if the cloud has it.
    pub fn machine_type(&self, kind: u32) -> Option<&MachineType> {
        self.types.get(kind as usize)?.as_ref()
    }

    /// What a machine of this kind offers.
    pub fn room(&self, kind: u32) -> Option<Room> {
        self.machine_type(kind).map(|t| Room::offered(t.cpus, t.gpus, t.memory_gb))
    }
}

/// How far an attempt's assignment is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Decided, not committed: no `run` may be sent.
    Proposed,
    /// In the committed log: it may be on its machine.
    Live,
    /// Proved to be off its machine; the log does not say so yet.
    Releasing(Outcome),
}

/// Why an attempt is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopWhy {
    /// The job is cancelled.
    Cancelled,
    /// To make room.
    Preempted,
    /// It is slow and starts anew elsewhere.
    Slow,
    /// The machine is going away.
    Drained,
    /// Another task of its gang is gone, and what has not been saved is lost.
    Regroup,
    /// Its gang was not complete in time. A fetch goes on to its end, so that the next
    /// attempt finds the image; stopped before, the gang might never meet.
    Incomplete,
}

/// A task on a machine.
#[derive(Debug)]
pub struct Attempt {
    /// The job.
    pub job: u32,
    /// The task's number.
    pub index: u32,
    /// The machine.
    pub machine: u32,
    /// The machine's zone, as far as known.
    pub zone: Option<u32>,
    /// The machine's session.
    pub session: u64,
    /// How far the assignment is.
    pub phase: Phase,
    /// What the worker last said of it under this token.
    pub seen: Option<TaskState>,
    /// When it was first seen running.
    pub run_since: Option<f64>,
    /// Why it should stop, if it should.
    pub stop: Option<StopWhy>,
    /// How often the stop was sent.
    pub stop_sent: u32,
    /// Whether its start was sent directly.
    pub sent: bool,
    /// What it takes.
    pub room: Room,
    /// Its image.
    pub image: u32,
    /// Whether an earlier token placed it: how long it has run is not known then.
    pub restored: bool,
    /// The newest segment of the log that assigns it.
    pub logged: u64,
}

/// A job.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its description.
    pub spec: Rc<JobSpec>,
    /// Version of its key.
    pub version: u64,
    /// Its team.
    pub team: u32,
    /// What a task takes.
    pub room: Room,
    /// Its image.
    pub image: u32,
    /// Allowed kinds.
    pub kinds: Option<Vec<u32>>,
    /// The only allowed zone.
    pub zone: Option<u32>,
    /// Its final state, if the store has one.
    pub fate: Option<JobState>,
    /// Another controller has committed its cancellation; the store has not told yet.
    pub called_off: bool,
    /// If it is cancelled: a time at which it was not so yet.
    pub cancelled_after: f64,
    /// Finished tasks.
    pub done: Bits,
    /// Tasks restarted for slowness.
    pub restarted: Bits,
    /// Tasks on no machine; restarts first.
    pub pending: VecDeque<u32>,
    /// How many of the first pending tasks are restarts.
    pub restarts: u32,
    /// The number that the tasks of a gang share, as long as any of them is on a machine.
    pub number: u64,
    /// How many of its tasks there are in each zone.
    pub by_zone: Vec<u32>,
    /// How many are on machines whose zone is not known.
    pub zone_unknown: u32,
    /// The newest segment of the log that tells a chunk's progress whole.
    pub told_at: BTreeMap<u32, u64>,
    /// Tasks that were stopped for others once: that must not go on for ever.
    pub displaced: Bits,
    /// When it was accepted, as far as known, on the leader's clock.
    pub known_at: f64,
    /// Since when it has had tasks that found no room.
    pub waits_since: Option<f64>,
    /// Finished runs, in seconds.
    pub runs: Vec<f64>,
    /// Failures since the last finish.
    pub failures: u32,
    /// Machines on which it failed since its last finish.
    pub failed_on: BTreeSet<u32>,
    /// Not placed before this time.
    pub hold_until: f64,
    /// No longer waits for machines that have its image: none could be freed.
    pub unhurried: bool,
}

impl Job {
    pub(super) fn new(
        catalog: &mut Catalog,
        id: JobId,
        stored: &StoredJob,
        team: u32,
        now: f64,
    ) -> Job {
        let spec = stored.spec.clone();
        Job {
            id,
            version: stored.version,
            team,
            room: Room::taken(spec.cpus, spec.gpus, spec.memory_gb),
            image: catalog.images.intern(&spec.image),
            kinds: spec.types.as_ref().map(|types| types.iter().map(|t| catalog.kind(t)).collect()),
            zone: spec.zone.as_ref().map(|zone| catalog.zones.intern(zone)),
            fate: None,
            called_off: false,
            cancelled_after: f64::NEG_INFINITY,
            pending: (0..spec.tasks).collect(),
            done: Bits::default(),
            restarted: Bits::default(),
            restarts: 0,
            number: 0,
            by_zone: Vec::new(),
            zone_unknown: 0,
            told_at: BTreeMap::new(),
            displaced: Bits::default(),
            known_at: now,
            waits_since: None,
            runs: Vec::new(),
            failures: 0,
            failed_on: BTreeSet::new(),
            hold_until: 0.0,
            unhurried: false,
            spec,
        }
    }

    /// Whether it is cancelled.
    pub fn cancelled(&self) -> bool {
        self.fate == Some(JobState::Cancelled) || self.called_off
    }

    /// Whether its tasks run together or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == Kind::Gang
    }

    /// Whether it needs nothing more: final, or all of its tasks done.
    pub fn over(&self) -> bool {
        self.fate.is_some() || self.called_off || self.done.count() == self.spec.tasks
    }

    /// Tasks that have not completed.
    pub fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.count()
    }

    /// Counts attempts that came to a zone or left it.
    pub(super) fn count_zone(&mut self, zone: Option<u32>, change: i32) {
        let count = match zone {
            None => &mut self.zone_unknown,
            Some(zone) => {
                let zone = zone as usize;
                if self.by_zone.len() <= zone {
                    self.by_zone.resize(zone + 1, 0);
                }
                &mut self.by_zone[zone]
            }
        };
        *count = count.saturating_add_signed(change);
    }

    /// Takes the next task off the queue.
    pub(super) fn next_pending(&mut self) -> Option<u32> {
        self.restarts = self.restarts.saturating_sub(1);
        self.pending.pop_front()
    }

    /// Puts a task back: in front, since it has waited already.
    pub(super) fn give_back(&mut self, index: u32, restart: bool, now: f64) {
        if self.done.has(index) {
            return;
        }
        if restart {
            self.pending.push_front(index);
            self.restarts += 1;
        } else {
            self.pending.insert((self.restarts as usize).min(self.pending.len()), index);
        }
        self.waits_since.get_or_insert(now);
    }

    /// Remembers a finished run.
    pub(super) fn ran(&mut self, seconds: f64) {
        if self.runs.len() < RUNS_KEPT {
            self.runs.push(seconds);
        } else {
            let at = self.done.count() as usize % RUNS_KEPT;
            self.runs[at] = seconds;
        }
    }

    /// How long after its submission the job should be complete: its deadline, the
    /// users' aim for its class, or else a few times what it runs.
    pub fn due_s(&self, params: &Params, run_s: f64) -> f64 {
        if self.spec.kind != Kind::Array {
            // All of its tasks are wanted at once.
            return 0.0;
        }
        let aims = params
            .objectives
            .iter()
            .filter(|aim| aim.kind == "finished" && aim.class.as_deref() == Some(&self.spec.class));
        let aim = aims.filter_map(|aim| aim.within_s).min_by(f64::total_cmp);
        self.spec.deadline_s.or(aim).unwrap_or(4.0 * run_s)
    }

    /// Whether it should start sooner than its image can be fetched, by the users'
    /// aim for its class, and still may if a machine that has the image takes it.
    pub fn hurried(&self, params: &Params, fetch_s: f64, now: f64) -> bool {
        let aims = params
            .objectives
            .iter()
            .filter(|aim| aim.kind == "wait" && aim.class.as_deref() == Some(&self.spec.class));
        let within = aims.filter_map(|aim| aim.within_s).min_by(f64::total_cmp);
        !self.unhurried
            && within
                .is_some_and(|within| fetch_s > 0.6 * within && now - self.known_at < 0.5 * within)
    }

    /// Whether its users want its tasks to start within a time.
    pub fn awaited(&self, params: &Params) -> bool {
        let mut aims = params.objectives.iter();
        aims.any(|aim| aim.kind == "wait" && aim.class.as_deref() == Some(&self.spec.class))
    }

    /// How long a task may take to save when it is stopped.
    pub fn grace(&self, why: StopWhy) -> f64 {
        let at_once = match why {
            // Room made for others is wanted at once, and the victim was chosen for how
            // little it loses since its last checkpoint. A gang is stopped last.
            StopWhy::Preempted => self.spec.kind != Kind::Gang,
            StopWhy::Cancelled | StopWhy::Regroup | StopWhy::Incomplete => true,
            StopWhy::Slow | StopWhy::Drained => false,
        };
        let saves = self.spec.checkpoint_s > 0.0 && !at_once;
        // More than the task asks for, so that a slower save is not cut off.
        if saves { self.spec.save_s * 1.5 + 1.0 } else { 0.0 }
    }

    /// Median of its finished runs.
    pub fn median(&self) -> Option<f64> {
        restart::median(&mut self.runs.clone())
    }
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
    pub born: f64,
    /// Whether the list has shown it.
    pub listed: bool,
    /// What the list says.
    pub list_state: Option<MachineState>,
    /// Lists in a row that lacked it although it had been listed.
    pub missing: u32,
    /// Why it should be deleted, if it should.
    pub delete: Option<&'static str>,
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
    pub attempts: BTreeSet<u64>,
    /// What they take.
    pub used: Room,
    /// What the last answer to its report was to bring about.
    pub awaited: Awaited,
    /// Reports in a row that show nothing of what the answers before them said.
    pub strikes: u32,
    /// Direct commands in a row that had no answer.
    pub unanswered: u32,
    /// Since when it has answered none of several, while silent.
    pub mute_since: Option<f64>,
    /// When it last answered a direct request.
    pub answered_at: Option<f64>,
    /// Since when others of its zone have answered meanwhile.
    pub suspect_since: Option<f64>,
    /// Whether something else than its reports says that it is there.
    pub vouched: bool,
    /// Attempts whose `run` was sent directly and may still arrive; since when there
    /// has been no answer, once that is so.
    pub open_starts: BTreeMap<u64, Option<f64>>,
    /// Whether a direct command is under way.
    pub direct_flying: bool,
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
            born: now,
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
            used: Room::default(),
            awaited: Awaited::default(),
            strikes: 0,
            unanswered: 0,
            mute_since: None,
            answered_at: None,
            suspect_since: None,
            vouched: false,
            open_starts: BTreeMap::new(),
            direct_flying: false,
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
        Machine { born: f64::NEG_INFINITY, vouched: true, ..Machine::new(name, now) }
    }

    /// Whether it was up once, as far as the log or the list say.
    pub(super) fn was_up(&self) -> bool {
        self.born == f64::NEG_INFINITY || self.list_state == Some(MachineState::Running)
    }

    /// Whether it gets new work, as far as hearing goes: it must be known from more
    /// than a report, which may be a late copy, and have shown that it hears.
    pub fn hears(&self) -> bool {
        self.vouched && self.strikes == 0
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
