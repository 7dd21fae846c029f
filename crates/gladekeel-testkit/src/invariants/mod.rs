//! The rules that must never break, checked from outside the controllers.

use gladekeel_wire::{
    JobId, TaskId,
    cloud::MachineType,
    job::{JobKind, JobSpec, JobState},
    settings::Deployment,
};
use std::collections::{BTreeMap, BTreeSet};

/// A task on a machine.
#[derive(Debug, Clone)]
struct Place {
    machine: String,
    zone: String,
}

/// How long polls for a job may go unanswered once all troubles are over.
const UNANSWERED_S: f64 = 75.0;

/// How long after a confirmed cancellation a task may still begin, its image's fetch not
/// counted. Such a start was in flight: its command stood in an answer to a report, which
/// the worker drops after 4 s. A direct command is older only if a cut or a machine that
/// hangs held it up; it is excused if it was sent before the cancellation was confirmed, and
/// then its task has to be gone within `cancel_s` like any other. What else begins later was
/// started by somebody who should have known better.
const IN_FLIGHT_S: f64 = 4.0;

/// How long a job may wait beside a machine that could take it.
const WAITING_S: f64 = 90.0;

/// A machine in good order and what is free on it.
#[derive(Debug, Clone)]
pub struct FreeCapacity {
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or not.
    pub spot: bool,
    /// CPUs, GPUs, memory.
    pub free: (f64, f64, f64),
}

/// What a user was told of a job.
#[derive(Debug, Default)]
struct ObservedJob {
    submitted: bool,
    accepted: bool,
    /// Since when polls have had no answer.
    unanswered_since: Option<f64>,
    cancel_asked: bool,
    cancelled_at: Option<f64>,
    /// When it was first told that the job is accepted, and that it is over.
    accepted_at: Option<f64>,
    final_at: Option<f64>,
    last: Option<JobState>,
}

/// Watches a world and notes every broken rule.
#[derive(Debug)]
pub struct InvariantChecker {
    params: Deployment,
    /// Machine types of the cloud; while there are none, nothing is said to fit none.
    pub types: Vec<MachineType>,
    /// Starts sent directly that no answer to a report has repeated, and when.
    direct_starts: BTreeMap<TaskId, f64>,
    /// Since when each job has waited beside room.
    pending_since: BTreeMap<JobId, f64>,
    specs: BTreeMap<JobId, JobSpec>,
    /// How much longer than the one before it each task of a job runs.
    pub apart_s: BTreeMap<JobId, f64>,
    on: BTreeMap<TaskId, Vec<Place>>,
    /// How many tasks of each job are on machines of each zone.
    zones: BTreeMap<JobId, BTreeMap<String, u32>>,
    /// What each team's tasks on machines use: CPUs and GPUs.
    uses: BTreeMap<String, (f64, f64)>,
    /// Jobs that a user was told are cancelled.
    cancelled: BTreeSet<JobId>,
    /// When each job's first task began.
    began: BTreeMap<JobId, f64>,
    /// When the last trouble is over.
    pub faults_cleared_at: f64,
    completed: BTreeSet<TaskId>,
    /// How many tasks of each job have completed.
    completed_of: BTreeMap<JobId, usize>,
    /// Tasks of gangs that began to run at this instant, by job and attempt.
    together: BTreeMap<(JobId, u64), BTreeSet<TaskId>>,
    told: BTreeMap<JobId, ObservedJob>,
    /// Starts so far.
    pub starts: u64,
    /// Starts that a machine refused for want of room.
    pub starts_without_room: u64,
    /// Broken rules, with what was seen.
    pub broken: Vec<(&'static str, String)>,
}

impl InvariantChecker {
    /// A checker for a deployment.
    pub fn new(params: Deployment) -> InvariantChecker {
        InvariantChecker {
            params,
            types: Vec::new(),
            direct_starts: BTreeMap::new(),
            pending_since: BTreeMap::new(),
            specs: BTreeMap::new(),
            apart_s: BTreeMap::new(),
            on: BTreeMap::new(),
            zones: BTreeMap::new(),
            uses: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            began: BTreeMap::new(),
            faults_cleared_at: 0.0,
            completed: BTreeSet::new(),
            completed_of: BTreeMap::new(),
            together: BTreeMap::new(),
            told: BTreeMap::new(),
            starts: 0,
            starts_without_room: 0,
            broken: Vec::new(),
        }
    }

    /// Notes a broken rule.
    pub fn broke(&mut self, rule: &'static str, what: String) {
        self.broken.push((rule, what));
    }

    /// A user sends a submission.
    pub fn submits(&mut self, spec: &JobSpec) {
        self.told.entry(spec.id.clone()).or_default().submitted = true;
        self.specs.insert(spec.id.clone(), spec.clone());
    }

    /// A user asks to cancel.
    pub fn asks_to_cancel(&mut self, id: &JobId) {
        self.told.entry(id.clone()).or_default().cancel_asked = true;
    }

    /// The description of a task's job.
    pub fn spec(&self, id: &JobId) -> Option<JobSpec> {
        self.specs.get(id).cloned()
    }

    /// The same for one of its tasks, with the task's own run time; none if the job has no
    /// such task.
    pub fn task_spec(&self, task: &TaskId) -> Option<JobSpec> {
        let mut spec = self.spec(&task.job).filter(|spec| task.index < spec.tasks)?;
        let apart_s = self.apart_s.get(&task.job).copied().unwrap_or_default();
        spec.estimate_s += apart_s * f64::from(task.index);
        Some(spec)
    }

    /// A user gets an answer about a job.
    pub fn answer(
        &mut self,
        now: f64,
        id: &JobId,
        status: u16,
        state: Option<JobState>,
        submission: bool,
    ) {
        self.answer_to(now, now, id, status, state, submission);
    }

    /// The same for a request that was sent at `asked`. Users have several requests under
    /// way at once, and their answers may overtake one another: an answer is older than what
    /// was told before only if its request was sent after that.
    pub fn answer_to(
        &mut self,
        asked: f64,
        now: f64,
        id: &JobId,
        status: u16,
        state: Option<JobState>,
        submission: bool,
    ) {
        let told = self.told.entry(id.clone()).or_default();
        let mut broken = Vec::new();
        let answered = matches!(status, 200 | 201 | 404);
        if answered {
            told.unanswered_since = None;
        } else if told.accepted {
            let since = *told.unanswered_since.get_or_insert(now);
            if now - since.max(self.faults_cleared_at) > UNANSWERED_S {
                told.unanswered_since = None;
                broken.push("unanswered");
            }
        }
        let known = told.accepted_at.is_some_and(|at| asked >= at);
        match status {
            200 | 201 => {
                if !told.submitted {
                    broken.push("invented");
                }
                told.accepted = true;
                told.accepted_at.get_or_insert(now);
                if status == 201 {
                    let never = self
                        .specs
                        .get(id)
                        .is_some_and(|spec| !can_run(&self.params, &self.types, spec));
                    if never {
                        broken.push("cannot_run");
                    }
                }
                if let Some(state) = state {
                    // Two final states contradict each other in any order.
                    let over = told.last.filter(|last| last.is_final());
                    let older = told.final_at.is_some_and(|at| asked >= at) || state.is_final();
                    if over.is_some_and(|last| last != state && older)
                        || (state == JobState::Cancelled && !told.cancel_asked)
                    {
                        broken.push("went_back");
                    }
                    if state.is_final() {
                        told.final_at.get_or_insert(now);
                    }
                    if state == JobState::Cancelled {
                        told.cancelled_at.get_or_insert(now);
                        self.cancelled.insert(id.clone());
                    }
                    if over.is_none() || older {
                        told.last = Some(state);
                    }
                    if state == JobState::Done {
                        let tasks = self.specs.get(id).map_or(0, |spec| spec.tasks);
                        let missing = (0..tasks).any(|index| {
                            !self.completed.contains(&TaskId { job: id.clone(), index })
                        });
                        if missing {
                            broken.push("not_done");
                        }
                    }
                }
            }
            404 if known => broken.push("forgotten"),
            400 | 422 if submission && known => broken.push("forgotten"),
            _ => {}
        }
        for rule in broken {
            self.broke(rule, format!("{now:.2}: {id} told {status} {state:?}"));
        }
    }

    /// A user's odd request, whose only right status is `wanted`, is answered with `got`. It
    /// may be put off or get no answer (0).
    pub fn check_status(&mut self, now: f64, wanted: u16, got: u16, request: &str) {
        let put_off = matches!(got, 0 | 429 | 503 | 504);
        if got != wanted && !put_off {
            self.broke("odd", format!("{now:.2}: {got} instead of {wanted}: {request}"));
        }
    }

    /// A start leaves a node for a worker, without waiting for its report.
    pub fn sent_directly(&mut self, now: f64, task: &TaskId) {
        self.direct_starts.insert(task.clone(), now);
    }

    /// A start reaches a worker in an answer to its report.
    pub fn sent_in_answer(&mut self, task: &TaskId) {
        self.direct_starts.remove(task);
    }

    /// A task is on a machine from now.
    pub fn started(
        &mut self,
        now: f64,
        task: &TaskId,
        machine: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) {
        self.starts += 1;
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        if let Some(place) = self.on.get(task).and_then(|places| places.first()) {
            let what = format!("{now:.2}: {task} on {} starts on {machine}", place.machine);
            self.broke("ran_twice", what);
        }
        let cancelled_at = self.told.get(&task.job).and_then(|told| told.cancelled_at);
        if let Some(at) = cancelled_at {
            let kind = self.types.iter().find(|kind| kind.name == machine_type);
            let rate = kind.map_or(1.0, |kind| kind.fetch_gb_per_s);
            let held_up = self.direct_starts.get(task).is_some_and(|sent| *sent <= at);
            if !held_up && now - at > IN_FLIGHT_S + spec.image_gb / rate {
                let what = format!("{now:.2}: {task} on {machine}, cancelled at {at:.2}");
                self.broke("started_cancelled", what);
            }
        }
        // A gang has started when all its tasks run, not when one waits for the others.
        if spec.kind != JobKind::Gang {
            self.began.entry(task.job.clone()).or_insert(now);
        }
        let (same_zone, other_zones) = self.others_by_zone(task, zone);
        let wrong = (spot && !spec.spot)
            || spec
                .machine_types
                .as_ref()
                .is_some_and(|types| !types.iter().any(|t| t == machine_type))
            || spec.zone.as_ref().is_some_and(|only| only != zone)
            || (spec.single_zone && other_zones > 0)
            || (spec.spread && same_zone + 1 > spec.tasks.div_ceil(2));
        if wrong {
            self.broke("wrong_place", format!("{now:.2}: {task} on {machine} in {zone}"));
        }
        let zones = self.zones.entry(task.job.clone()).or_default();
        *zones.entry(zone.to_owned()).or_default() += 1;
        self.on
            .entry(task.clone())
            .or_default()
            .push(Place { machine: machine.to_owned(), zone: zone.to_owned() });
        let uses = self.uses.entry(spec.team.clone()).or_default();
        *uses = (uses.0 + spec.cpus, uses.1 + spec.gpus);
        let (cpus, gpus) = *uses;
        let limit = self.params.teams.iter().find(|t| t.name == spec.team);
        if limit.is_some_and(|t| cpus > t.cpus_max + 1e-6 || gpus > t.gpus_max + 1e-6) {
            self.broke("quota", format!("{now:.2}: {} uses {cpus} CPUs", spec.team));
        }
        self.check_cancelled(now);
    }

    /// A task of a gang begins to run.
    pub fn runs(&mut self, now: f64, task: &TaskId, attempt: u64) {
        if !self.on.contains_key(task) {
            self.broke("ran_alone", format!("{now:.2}: {task} runs on no machine"));
        }
        self.together.entry((task.job.clone(), attempt)).or_default().insert(task.clone());
    }

    /// Checks that the tasks of a gang that began to run at this instant are all of them.
    pub fn check_together(&mut self, now: f64) {
        for ((job, attempt), tasks) in std::mem::take(&mut self.together) {
            let of = self.specs.get(&job).map_or(0, |spec| spec.tasks as usize);
            if tasks.len() == of {
                self.began.entry(job).or_insert(now);
            } else {
                let what = format!("{now:.2}: {} of {of} of {job}, attempt {attempt}", tasks.len());
                self.broke("ran_alone", what);
            }
        }
    }

    /// How many other tasks of a task's job are on machines of a zone, and of all others.
    fn others_by_zone(&self, task: &TaskId, zone: &str) -> (u32, u32) {
        let Some(zones) = self.zones.get(&task.job) else { return (0, 0) };
        let own = self.on.get(task).map_or(&[][..], Vec::as_slice);
        let own_here = own.iter().filter(|place| place.zone == zone).count() as u32;
        let here = zones.get(zone).copied().unwrap_or(0);
        let all: u32 = zones.values().sum();
        (here - own_here, all - here - (own.len() as u32 - own_here))
    }

    /// The tasks of a job that are on machines.
    fn tasks_of(&self, job: &JobId) -> impl Iterator<Item = (&TaskId, &Vec<Place>)> {
        let range =
            TaskId { job: job.clone(), index: 0 }..=TaskId { job: job.clone(), index: u32::MAX };
        self.on.range(range)
    }

    /// How many tasks of a job are on machines.
    pub fn on_machines(&self, id: &JobId) -> usize {
        self.tasks_of(id).map(|(_, places)| places.len()).sum()
    }

    /// When a job's first task began.
    pub fn began(&self, id: &JobId) -> Option<f64> {
        self.began.get(id).copied()
    }

    /// A task is off a machine.
    pub fn ended(&mut self, task: &TaskId, machine: &str, completed: bool) {
        if let Some(places) = self.on.get_mut(task) {
            let before = places.len();
            if let Some(zones) = self.zones.get_mut(&task.job) {
                for place in places.iter().filter(|place| place.machine == machine) {
                    zones.entry(place.zone.clone()).and_modify(|count| *count -= 1);
                }
            }
            places.retain(|place| place.machine != machine);
            if let Some(spec) = self.specs.get(&task.job)
                && let Some(uses) = self.uses.get_mut(&spec.team)
            {
                let gone = (before - places.len()) as f64;
                *uses = (uses.0 - spec.cpus * gone, uses.1 - spec.gpus * gone);
            }
            if places.is_empty() {
                self.on.remove(task);
            }
        }
        if completed && self.completed.insert(task.clone()) {
            *self.completed_of.entry(task.job.clone()).or_default() += 1;
        }
    }

    /// Checks what time alone can break.
    pub fn check_cancelled(&mut self, now: f64) {
        let cancel_s = self.params.workers.cancellation_deadline_s;
        let over = |id: &&JobId| {
            let told = self.told.get(*id);
            told.and_then(|t| t.cancelled_at).is_some_and(|at| now - at > cancel_s)
        };
        let late: Vec<TaskId> = self
            .cancelled
            .iter()
            .filter(over)
            .flat_map(|id| self.tasks_of(id))
            .map(|(task, _)| task.clone())
            .collect();
        for task in late {
            if !self.broken.iter().any(|(_, what)| what.ends_with(&format!(" {task}"))) {
                self.broke("ran_cancelled", format!("{now:.2}: {task}"));
            }
        }
    }

    /// CPUs that a team's tasks on machines use.
    pub fn cpus_of(&self, team: &str) -> f64 {
        self.uses.get(team).map_or(0.0, |(cpus, _)| *cpus)
    }

    /// How many jobs a user was told are cancelled.
    pub fn confirmed(&self) -> usize {
        self.cancelled.len()
    }

    /// How many of their tasks are on machines still.
    pub fn cancelled_running(&self) -> usize {
        self.cancelled.iter().flat_map(|id| self.tasks_of(id)).count()
    }

    /// Whether all tasks of a job have completed.
    pub fn has_finished(&self, id: &JobId) -> bool {
        let tasks = self.specs.get(id).map_or(u32::MAX, |spec| spec.tasks) as usize;
        self.completed_of.get(id).copied().unwrap_or(0) >= tasks
    }

    /// Looks for jobs that wait although there is room: in calm none does so for long.
    /// `held` are the jobs with tasks on machines, those whose image is being fetched too.
    pub fn check_pending(&mut self, now: f64, rooms: &[FreeCapacity], held: &BTreeSet<JobId>) {
        if now < self.faults_cleared_at {
            return self.pending_since.clear();
        }
        let mut waiting = BTreeSet::new();
        for (id, told) in &self.told {
            let over = told.cancel_asked || told.last.is_none_or(JobState::is_final);
            if !told.accepted || over || held.contains(id) {
                continue;
            }
            let Some(spec) = self.specs.get(id) else { continue };
            // A job that fails everywhere is kept back for its own sake.
            if spec.class == "faulty" || !self.has_room(spec, rooms) || self.has_finished(id) {
                continue;
            }
            waiting.insert(id.clone());
        }
        self.pending_since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.pending_since.entry(id.clone()).or_insert(now);
            if now - since > WAITING_S {
                self.pending_since.insert(id.clone(), f64::MAX);
                self.broke("left_waiting", format!("{now:.2}: {id} since {since:.2}"));
            }
        }
    }

    /// Whether a job that has nothing on machines could begin now.
    fn has_room(&self, spec: &JobSpec, rooms: &[FreeCapacity]) -> bool {
        // An array begins with one task, the others with all of them.
        let at_once = if spec.kind == JobKind::Array { 1 } else { spec.tasks };
        let (cpus, gpus) = self.uses.get(&spec.team).copied().unwrap_or_default();
        let below = self.params.teams.iter().find(|team| team.name == spec.team).is_some_and(|t| {
            cpus + spec.cpus * f64::from(at_once) <= t.cpus_max + 1e-6
                && gpus + spec.gpus * f64::from(at_once) <= t.gpus_max + 1e-6
        });
        let mut fitting = 0;
        for room in rooms {
            let allowed = (!room.spot || spec.spot)
                && spec
                    .machine_types
                    .as_ref()
                    .is_none_or(|types| types.contains(&room.machine_type))
                && spec.zone.as_ref().is_none_or(|zone| *zone == room.zone);
            let (mut cpus, mut gpus, mut memory) = room.free;
            while allowed
                && fitting < at_once
                && spec.cpus <= cpus
                && spec.gpus <= gpus
                && spec.memory_gb <= memory
            {
                fitting += 1;
                (cpus, gpus, memory) =
                    (cpus - spec.cpus, gpus - spec.gpus, memory - spec.memory_gb);
            }
        }
        below && fitting >= at_once
    }

    /// What the user of a job was told last.
    pub fn last(&self, id: &JobId) -> Option<JobState> {
        self.told.get(id).and_then(|told| told.last)
    }
}

/// Whether a job can run at all: its team exists and its limit and some allowed machine
/// type are large enough.
fn can_run(params: &Deployment, types: &[MachineType], spec: &JobSpec) -> bool {
    let at_once = if spec.kind == JobKind::Array { 1.0 } else { f64::from(spec.tasks) };
    let below = params.teams.iter().find(|team| team.name == spec.team).is_some_and(|team| {
        spec.cpus * at_once <= team.cpus_max && spec.gpus * at_once <= team.gpus_max
    });
    let fits = |kind: &MachineType| {
        spec.machine_types.as_ref().is_none_or(|types| types.contains(&kind.name))
            && spec.zone.as_ref().is_none_or(|zone| kind.zones.contains(zone))
            && spec.cpus <= kind.cpus
            && spec.gpus <= kind.gpus
            && spec.memory_gb <= kind.memory_gb
    };
    below && (types.is_empty() || types.iter().any(fits))
}
