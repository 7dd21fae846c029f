//! Users: submissions, questions and cancellations.

use super::{Endpoint, Simulation};
use crate::stand_ins::worker::FakeWorker;
use gladekeel_wire::{
    JobId,
    job::{JobKind, JobSpec, JobState, JobStatus},
    worker::TaskState,
};
use rand::Rng;
use std::{collections::BTreeMap, ops::Range};

/// How long after its submission a job of a stream is cancelled.
const CANCELLED_WITHIN_S: Range<f64> = 0.0..12.0;

impl Simulation {
    pub(super) fn any_node(&mut self) -> Option<usize> {
        let up: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].node.is_some()).collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    pub(super) fn ask(
        &mut self,
        id: JobId,
        request: (&'static str, String, Vec<u8>),
        timeout_s: f64,
        then: impl FnOnce(&mut Simulation, u16, Option<JobState>) + 'static,
    ) {
        let Some(node) = self.any_node() else {
            return self.after(1.0, move |sim| then(sim, 0, None));
        };
        self.ask_node(node, id, request, timeout_s, then);
    }

    fn ask_node(
        &mut self,
        node: usize,
        id: JobId,
        request: (&'static str, String, Vec<u8>),
        timeout_s: f64,
        then: impl FnOnce(&mut Simulation, u16, Option<JobState>) + 'static,
    ) {
        let submission = request.1 == "/api/jobs";
        let asked = self.now;
        self.request(Endpoint::Users, node, request, timeout_s, move |sim, reply| {
            let (status, state) = match &reply {
                None => (0, None),
                Some(reply) => {
                    let status = serde_json::from_slice::<JobStatus>(&reply.body).ok();
                    (reply.status, status.filter(|s| s.id == id).map(|s| s.state))
                }
            };
            sim.invariants.answer_to(asked, sim.now, &id, status, state, submission);
            sim.probe_after_news(&id, status, state);
            then(sim, status, state);
        });
    }

    /// A user submits a job, repeats until it is taken and then follows it.
    pub fn submit(&mut self, spec: JobSpec) {
        self.invariants.submits(&spec);
        self.submitted_jobs.push(spec.id.clone());
        if spec.kind == JobKind::Gang && !self.gangs_stepping {
            self.gangs_stepping = true;
            self.step_gangs();
        }
        self.try_submit(spec, self.now);
    }

    /// A user submits a job after a while; some of these users cancel it soon after.
    pub fn submit_in_stream(&mut self, spec: JobSpec, after_s: f64, cancelled: f64) {
        let id = spec.id.clone();
        self.after(after_s, move |sim| sim.submit(spec));
        if self.occurs(cancelled) {
            let after_s = after_s + self.rng.random_range(CANCELLED_WITHIN_S);
            self.after(after_s, move |sim| sim.cancel(id));
        }
    }

    fn try_submit(&mut self, spec: JobSpec, since: f64) {
        let body = serde_json::to_vec(&spec).unwrap_or_default();
        let id = spec.id.clone();
        self.ask(id.clone(), ("POST", "/api/jobs".into(), body), 5.0, move |sim, status, _| {
            match status {
                200 | 201 => sim.after(1.0, move |sim| sim.poll(id)),
                400 | 422 => {}
                _ if sim.now - since > 60.0 => sim.abandoned_submissions += 1,
                _ => sim.after(1.0, move |sim| sim.try_submit(spec, since)),
            }
        });
    }

    /// A user asks for a job until it is over.
    pub fn poll(&mut self, id: JobId) {
        let path = format!("/api/jobs/{id}");
        self.ask(id.clone(), ("GET", path, Vec::new()), 2.0, move |sim, status, state| {
            let over = state.is_some_and(JobState::is_final) || status == 404;
            if !over {
                sim.after(5.0, move |sim| sim.poll(id));
            }
        });
    }

    /// A user asks for a job once.
    pub fn poll_once(&mut self, id: JobId) {
        if let Some(node) = self.any_node() {
            self.poll_node(node, id);
        }
    }

    /// A user asks for a job once, at this node.
    pub fn poll_node(&mut self, node: usize, id: JobId) {
        let path = format!("/api/jobs/{id}");
        self.ask_node(node, id, ("GET", path, Vec::new()), 2.0, |_, _, _| {});
    }

    /// A user cancels a job and repeats until that is answered.
    pub fn cancel(&mut self, id: JobId) {
        self.cancel_through(id, Vec::new());
    }

    /// A user cancels a job through one of these nodes, or any if there are none.
    pub fn cancel_through(&mut self, id: JobId, through: Vec<usize>) {
        self.invariants.asks_to_cancel(&id);
        self.try_cancel(id, through, self.now);
    }

    fn try_cancel(&mut self, id: JobId, through: Vec<usize>, since: f64) {
        let request = ("POST", format!("/api/jobs/{id}/cancel"), Vec::new());
        let job = id.clone();
        let nodes = through.clone();
        let then = move |sim: &mut Simulation, status: u16, _| {
            if status != 200 && sim.now - since < 60.0 {
                sim.after(1.0, move |sim| sim.try_cancel(job, nodes, since));
            }
        };
        if through.is_empty() {
            return self.ask(id, request, 5.0, then);
        }
        let node = through[self.rng.random_range(0..through.len())];
        self.ask_node(node, id, request, 5.0, then);
    }

    /// Users call off the jobs that run and have longest to go, within a fifth of a second
    /// and through one of these nodes; up to eight machines of these jobs hang for so long.
    pub fn cancel_now(&mut self, count: usize, through: Vec<usize>, hang_s: f64) {
        let mut left: BTreeMap<JobId, f64> = BTreeMap::new();
        for task in self.workers.values().flat_map(|worker| &worker.tasks) {
            if task.state == TaskState::Running {
                let until = left.entry(task.task.job.clone()).or_default();
                *until = until.max(task.state_ends_at);
            }
        }
        let open = |id: &JobId| !self.invariants.last(id).is_some_and(JobState::is_final);
        let mut longest: Vec<(f64, JobId)> =
            left.into_iter().filter(|(id, _)| open(id)).map(|(id, until)| (until, id)).collect();
        longest.sort_by(|a, b| b.0.total_cmp(&a.0));
        longest.truncate(count);
        let jobs: Vec<JobId> = longest.into_iter().map(|(_, id)| id).collect();
        if hang_s > 0.0 {
            let holds = |w: &&FakeWorker| w.tasks.iter().any(|t| jobs.contains(&t.task.job));
            let names = self.workers.values().filter(holds).map(|w| w.name.clone());
            let names: Vec<String> = names.take(8).collect();
            self.hang(names, hang_s);
        }
        for id in jobs {
            let after_s = self.rng.random_range(0.0..0.2);
            let through = through.clone();
            self.after(after_s, move |sim| sim.cancel_through(id, through));
        }
    }

    /// The last task of a job ends: at that moment its user calls it off, asks for it and
    /// submits it again, at any node each.
    pub(super) fn at_completion(&mut self, id: JobId) {
        if self.cancel_at_completion_share <= 0.0
            || self.rng.random::<f64>() >= self.cancel_at_completion_share
        {
            return;
        }
        let mut soon = || if self.rng.random() { 0.0 } else { self.rng.random_range(0.0..0.4) };
        let (cancel_s, ask_s, submit_s) = (soon(), soon(), soon());
        let (asked, submitted) = (id.clone(), id.clone());
        self.after(cancel_s, move |sim| sim.cancel(id));
        self.after(ask_s, move |sim| sim.poll_once(asked));
        self.after(submit_s, move |sim| sim.submit_again(submitted));
    }

    /// A user submits a job once more: it is known, so 200 is the answer.
    pub fn submit_again(&mut self, id: JobId) {
        if let Some(node) = self.any_node() {
            self.submit_again_at(node, id);
        }
    }

    /// The same at this node.
    pub fn submit_again_at(&mut self, node: usize, id: JobId) {
        let Some(spec) = self.invariants.spec(&id) else { return };
        let known = self.invariants.last(&id).is_some();
        let body = serde_json::to_vec(&spec).unwrap_or_default();
        let request = ("POST", "/api/jobs".into(), body);
        self.ask_node(node, id.clone(), request, 5.0, move |sim, status, _| {
            let wanted = if known { 200 } else { status };
            sim.invariants.check_status(sim.now, wanted, status, &format!("repeat of {id}"));
        });
    }
}
