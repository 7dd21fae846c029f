//! The rules that must never break, checked from outside the controllers.

use gladekeel_wire::{
    JobId, TaskId,
    job::{JobSpec, JobState, Kind},
    settings::Params,
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

/// What a user was told of a job.
#[derive(Debug, Default)]
struct Told {
    submitted: bool,
    accepted: bool,
    /// Since when polls have had no answer.
    unanswered_since: Option<f64>,
    cancel_asked: bool,
    cancelled_at: Option<f64>,
    last: Option<JobState>,
}

/// Watches a world and notes every broken rule.
#[derive(Debug)]
pub struct Rules {
    params: Params,
    specs: BTreeMap<JobId, JobSpec>,
    on: BTreeMap<TaskId, Vec<Place>>,
    /// What each team's tasks on machines use: CPUs and GPUs.
    uses: BTreeMap<String, (f64, f64)>,
    /// Jobs that a user was told are cancelled.
    cancelled: BTreeSet<JobId>,
    /// When each job's first task began.
    began: BTreeMap<JobId, f64>,
    /// When the last trouble is over.
    pub calm_from: f64,
    completed: BTreeSet<TaskId>,
    /// Tasks of gangs that began to run at this instant, by job and attempt.
    together: BTreeMap<(JobId, u64), BTreeSet<TaskId>>,
    told: BTreeMap<JobId, Told>,
    /// Starts so far.
    pub starts: u64,
    /// Broken rules, with what was seen.
    pub broken: Vec<(&'static str, String)>,
}

impl Rules {
    /// A checker for a deployment.
    pub fn new(params: Params) -> Rules {
        Rules {
            params,
            specs: BTreeMap::new(),
            on: BTreeMap::new(),
            uses: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            began: BTreeMap::new(),
            calm_from: 0.0,
            completed: BTreeSet::new(),
            together: BTreeMap::new(),
            told: BTreeMap::new(),
            starts: 0,
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

    /// A user gets an answer about a job.
    pub fn answer(
        &mut self,
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
            if now - since.max(self.calm_from) > UNANSWERED_S {
                told.unanswered_since = None;
                broken.push("unanswered");
            }
        }
        match status {
            200 | 201 => {
                if !told.submitted {
                    broken.push("invented");
                }
                told.accepted = true;
                if let Some(state) = state {
                    if told.last.is_some_and(|last| last.is_final() && last != state)
                        || (state == JobState::Cancelled && !told.cancel_asked)
                    {
                        broken.push("went_back");
                    }
                    if state == JobState::Cancelled {
                        told.cancelled_at.get_or_insert(now);
                        self.cancelled.insert(id.clone());
                    }
                    told.last = Some(state);
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
            404 if told.accepted => broken.push("forgotten"),
            400 | 422 if submission && told.accepted => broken.push("forgotten"),
            _ => {}
        }
        for rule in broken {
            self.broke(rule, format!("{now:.2}: {id} told {status} {state:?}"));
        }
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
        // A gang has started when all its tasks run, not when one waits for the others.
        if spec.kind != Kind::Gang {
            self.began.entry(task.job.clone()).or_insert(now);
        }
        let zoned = spec.one_zone || spec.spread;
        let others: Vec<&Place> = self
            .tasks_of(&task.job)
            .filter(|(other, _)| zoned && *other != task)
            .flat_map(|(_, places)| places)
            .collect();
        let same_zone = others.iter().filter(|place| place.zone == zone).count() as u32;
        let wrong = (spot && !spec.spot)
            || spec.types.as_ref().is_some_and(|types| !types.iter().any(|t| t == machine_type))
            || spec.zone.as_ref().is_some_and(|only| only != zone)
            || (spec.one_zone && others.iter().any(|place| place.zone != zone))
            || (spec.spread && same_zone + 1 > spec.tasks.div_ceil(2));
        if wrong {
            self.broke("wrong_place", format!("{now:.2}: {task} on {machine} in {zone}"));
        }
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
        if completed {
            self.completed.insert(task.clone());
        }
    }

    /// Checks what time alone can break.
    pub fn check_cancelled(&mut self, now: f64) {
        let cancel_s = self.params.workers.cancel_s;
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

    /// What the user of a job was told last.
    pub fn last(&self, id: &JobId) -> Option<JobState> {
        self.told.get(id).and_then(|told| told.last)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{example_job, example_settings};

    fn rules() -> Rules {
        Rules::new(example_settings(0, 1).params)
    }

    fn task(index: u32) -> TaskId {
        TaskId { job: "job-1".parse().unwrap(), index }
    }

    fn names(rules: &Rules) -> Vec<&str> {
        rules.broken.iter().map(|(rule, _)| *rule).collect()
    }

    /// Each rule is shown to fail on a world that breaks it, and only it.
    #[test]
    fn every_rule_can_fail() {
        let id: JobId = "job-1".parse().unwrap();
        let mut spec = example_job("job-1");
        spec.tasks = 4;
        spec.cpus = 4.0;

        let mut r = rules();
        r.submits(&spec);
        r.started(1.0, &task(0), "n-1", "m32", "a", false);
        r.started(2.0, &task(0), "n-2", "m32", "a", false);
        assert_eq!(names(&r), ["ran_twice"]);

        let mut r = rules();
        let mut large = spec.clone();
        large.cpus = 60.0;
        r.submits(&large);
        for index in 0..4 {
            r.started(1.0, &task(index), "n-1", "m32", "a", false);
        }
        assert_eq!(names(&r), ["quota"]);

        for change in [
            (|s: &mut JobSpec| s.spot = false) as fn(&mut JobSpec),
            |s| s.zone = Some("b".into()),
            |s| s.types = Some(vec!["g8".into()]),
            |s| s.one_zone = true,
            |s| s.spread = true,
        ] {
            let mut r = rules();
            let mut spec = spec.clone();
            change(&mut spec);
            r.submits(&spec);
            if spec.one_zone {
                r.started(1.0, &task(3), "n-9", "m32", "b", true);
            }
            let tasks = if spec.spread { 3 } else { 1 };
            for index in 0..tasks {
                r.started(1.0, &task(index), "n-1", "m32", "a", true);
            }
            assert_eq!(names(&r), ["wrong_place"]);
        }

        let mut r = rules();
        r.submits(&spec);
        r.asks_to_cancel(&id);
        r.started(1.0, &task(0), "n-1", "m32", "a", false);
        r.answer(2.0, &id, 200, Some(JobState::Cancelled), false);
        r.check_cancelled(2.0 + r.params.workers.cancel_s);
        assert!(names(&r).is_empty());
        r.check_cancelled(2.1 + r.params.workers.cancel_s);
        assert_eq!(names(&r), ["ran_cancelled"]);

        let mut r = rules();
        r.submits(&spec);
        r.answer(1.0, &id, 404, None, false);
        assert!(names(&r).is_empty(), "not accepted yet");
        r.answer(1.0, &id, 201, Some(JobState::Queued), true);
        r.answer(2.0, &id, 404, None, false);
        r.answer(3.0, &id, 422, None, true);
        assert_eq!(names(&r), ["forgotten", "forgotten"]);

        let mut r = rules();
        r.answer(1.0, &id, 200, Some(JobState::Queued), false);
        assert_eq!(names(&r), ["invented"]);

        let mut r = rules();
        r.submits(&spec);
        r.ended(&task(0), "n-1", true);
        r.answer(1.0, &id, 200, Some(JobState::Done), false);
        assert_eq!(names(&r), ["not_done"]);

        let mut r = rules();
        r.submits(&spec);
        for index in 0..4 {
            r.ended(&task(index), "n-1", true);
        }
        r.answer(1.0, &id, 200, Some(JobState::Done), false);
        assert!(names(&r).is_empty());
        r.answer(2.0, &id, 200, Some(JobState::Running), false);
        assert_eq!(names(&r), ["went_back"]);

        let mut r = rules();
        r.submits(&spec);
        r.answer(1.0, &id, 200, Some(JobState::Cancelled), false);
        assert_eq!(names(&r), ["went_back"], "its user did not cancel it");
    }

    #[test]
    fn unanswered_polls_count_once_troubles_are_over() {
        let id: JobId = "job-1".parse().unwrap();
        let mut r = rules();
        r.submits(&example_job("job-1"));
        r.answer(1.0, &id, 201, Some(JobState::Queued), true);
        r.calm_from = 100.0;
        for now in [50.0, 100.0, 174.0] {
            r.answer(now, &id, 503, None, false);
        }
        assert!(names(&r).is_empty(), "75 s have not passed since");
        r.answer(176.0, &id, 503, None, false);
        assert_eq!(names(&r), ["unanswered"]);
        r.answer(177.0, &id, 200, Some(JobState::Queued), false);
        r.answer(250.0, &id, 0, None, false);
        assert_eq!(names(&r), ["unanswered"]);
    }
}
