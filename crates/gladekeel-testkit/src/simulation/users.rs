//! Users: submissions, queries and cancellations, each repeated until it is answered.

use super::{Endpoint, Simulation, requests::HttpRequest};
use crate::{
    invariants::{JobRequest, JobResponse},
    stand_ins::worker::FakeWorker,
};
use gladekeel_wire::{
    JobId,
    job::{JobKind, JobSpec, JobState, JobStatus},
    worker::TaskState,
};
use rand::Rng;
use std::{collections::BTreeMap, ops::Range};

/// How long after its submission a job of a stream is cancelled.
const STREAM_CANCELLATION_DELAY_S: Range<f64> = 0.0..12.0;
/// How long a user waits for the answer to a submission or a cancellation.
const CHANGE_TIMEOUT_S: f64 = 5.0;
/// How long a user waits for the answer to a query.
const QUERY_TIMEOUT_S: f64 = 2.0;
/// Pause before a user repeats a request.
const RETRY_PAUSE_S: f64 = 1.0;
/// Time between two queries of a user.
const POLL_INTERVAL_S: f64 = 5.0;
/// For how long a user repeats a request.
const RETRY_FOR_S: f64 = 60.0;
/// Within this time the cancellations of `cancel_longest_remaining` are sent.
const CANCEL_LONGEST_REMAINING_WITHIN_S: Range<f64> = 0.0..0.2;
/// How many machines of cancelled jobs hang at most.
const MAX_HUNG_MACHINES: usize = 8;
/// Within this time of a job's completion its user cancels, queries and submits it.
const AT_COMPLETION_WITHIN_S: Range<f64> = 0.0..0.4;

/// What a user learns from a response.
#[derive(Debug, Clone, Copy)]
pub(super) struct Answer {
    /// The status; 0 without a response.
    pub status: u16,
    /// The state of the job, if the response has it.
    pub state: Option<JobState>,
}

impl Simulation {
    /// A node that is running, as a load balancer would pick it.
    pub(super) fn any_node(&mut self) -> Option<usize> {
        let running: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].process.is_some()).collect();
        (!running.is_empty()).then(|| running[self.rng.random_range(0..running.len())])
    }

    /// Sends a request about a job to any node.
    fn send_job_request(
        &mut self,
        job: JobId,
        request: HttpRequest,
        timeout_s: f64,
        handler: impl FnOnce(&mut Simulation, Answer) + 'static,
    ) {
        let Some(node) = self.any_node() else {
            let no_answer = Answer { status: 0, state: None };
            return self.after(RETRY_PAUSE_S, move |sim| handler(sim, no_answer));
        };
        self.send_job_request_to(node, job, request, timeout_s, handler);
    }

    /// Sends a request about a job to a node.
    fn send_job_request_to(
        &mut self,
        node: usize,
        job: JobId,
        request: HttpRequest,
        timeout_s: f64,
        handler: impl FnOnce(&mut Simulation, Answer) + 'static,
    ) {
        let submits = request.path == "/api/jobs";
        let kind = if submits { JobRequest::Submit } else { JobRequest::Other };
        let sent_at = self.now;
        self.request(Endpoint::Users, node, request, timeout_s, move |sim, reply| {
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            let reported = reply
                .and_then(|reply| serde_json::from_slice::<JobStatus>(&reply.body).ok())
                .filter(|reported| reported.id == job);
            let answer = Answer { status, state: reported.map(|reported| reported.state) };
            let response = JobResponse {
                sent_at,
                received_at: sim.now,
                request: kind,
                status,
                state: answer.state,
            };
            sim.invariants.on_response(&job, &response);
            sim.probe_after_new_state(&job, answer);
            handler(sim, answer);
        });
    }

    /// A user submits a job, repeats until it is accepted and then follows it.
    pub fn submit(&mut self, spec: JobSpec) {
        self.invariants.on_submission(&spec);
        self.submitted_jobs.push(spec.id.clone());
        if spec.kind == JobKind::Gang && !self.gangs_stepping {
            self.gangs_stepping = true;
            self.step_gangs();
        }
        self.try_submit(spec, self.now);
    }

    /// A user submits a job after a while; this share of the users cancels it soon after.
    pub fn submit_in_stream(&mut self, spec: JobSpec, after_s: f64, cancelled_share: f64) {
        let id = spec.id.clone();
        self.after(after_s, move |sim| sim.submit(spec));
        if self.occurs(cancelled_share) {
            let after_s = after_s + self.rng.random_range(STREAM_CANCELLATION_DELAY_S);
            self.after(after_s, move |sim| sim.cancel(id));
        }
    }

    fn try_submit(&mut self, spec: JobSpec, since: f64) {
        let request = HttpRequest::submit(&spec);
        let id = spec.id.clone();
        self.send_job_request(
            id.clone(),
            request,
            CHANGE_TIMEOUT_S,
            move |sim, answer| match answer.status {
                200 | 201 => sim.after(RETRY_PAUSE_S, move |sim| sim.poll(id)),
                400 | 422 => {}
                _ if sim.now - since > RETRY_FOR_S => sim.abandoned_submissions += 1,
                _ => sim.after(RETRY_PAUSE_S, move |sim| sim.try_submit(spec, since)),
            },
        );
    }

    /// A user queries a job until it is over.
    pub fn poll(&mut self, id: JobId) {
        let request = HttpRequest::query(&id);
        self.send_job_request(id.clone(), request, QUERY_TIMEOUT_S, move |sim, answer| {
            let over = answer.state.is_some_and(JobState::is_final) || answer.status == 404;
            if !over {
                sim.after(POLL_INTERVAL_S, move |sim| sim.poll(id));
            }
        });
    }

    /// A user queries a job once.
    pub fn poll_once(&mut self, id: JobId) {
        if let Some(node) = self.any_node() {
            self.poll_node(node, id);
        }
    }

    /// A user queries a job once, at this node.
    pub fn poll_node(&mut self, node: usize, id: JobId) {
        let request = HttpRequest::query(&id);
        self.send_job_request_to(node, id, request, QUERY_TIMEOUT_S, |_, _| {});
    }

    /// A user cancels a job and repeats until that is answered.
    pub fn cancel(&mut self, id: JobId) {
        self.cancel_via(id, Vec::new());
    }

    /// A user cancels a job through one of these nodes, or any if there are none.
    pub fn cancel_via(&mut self, id: JobId, via: Vec<usize>) {
        self.invariants.on_cancel_request(&id);
        self.try_cancel(id, via, self.now);
    }

    fn try_cancel(&mut self, id: JobId, via: Vec<usize>, since: f64) {
        let request = HttpRequest::cancel(&id);
        let job = id.clone();
        let nodes = via.clone();
        let retry = move |sim: &mut Simulation, answer: Answer| {
            if answer.status != 200 && sim.now - since < RETRY_FOR_S {
                sim.after(RETRY_PAUSE_S, move |sim| sim.try_cancel(job, nodes, since));
            }
        };
        if via.is_empty() {
            return self.send_job_request(id, request, CHANGE_TIMEOUT_S, retry);
        }
        let node = via[self.rng.random_range(0..via.len())];
        self.send_job_request_to(node, id, request, CHANGE_TIMEOUT_S, retry);
    }

    /// Users cancel the running jobs that have longest to go, all at once and through one of
    /// these nodes; some machines of these jobs hang for so long.
    pub fn cancel_longest_remaining(&mut self, count: usize, via: Vec<usize>, hang_s: f64) {
        let jobs = self.longest_remaining_jobs(count);
        if hang_s > 0.0 {
            let holds = |worker: &&FakeWorker| {
                worker.tasks.iter().any(|task| jobs.contains(&task.task.job))
            };
            let names = self.workers.values().filter(holds).map(|w| w.machine.name.clone());
            let names: Vec<String> = names.take(MAX_HUNG_MACHINES).collect();
            self.hang(names, hang_s);
        }
        for id in jobs {
            let after_s = self.rng.random_range(CANCEL_LONGEST_REMAINING_WITHIN_S);
            let via = via.clone();
            self.after(after_s, move |sim| sim.cancel_via(id, via));
        }
    }

    /// Running jobs that no user knows to be over, those with longest to go first.
    fn longest_remaining_jobs(&self, count: usize) -> Vec<JobId> {
        let mut ends_at: BTreeMap<JobId, f64> = BTreeMap::new();
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        for task in tasks.filter(|task| task.state == TaskState::Running) {
            let job_ends_at = ends_at.entry(task.task.job.clone()).or_default();
            *job_ends_at = job_ends_at.max(task.state_ends_at);
        }
        let open = |job: &JobId| !self.invariants.last_state(job).is_some_and(JobState::is_final);
        let mut jobs: Vec<(JobId, f64)> =
            ends_at.into_iter().filter(|(job, _)| open(job)).collect();
        jobs.sort_by(|a, b| b.1.total_cmp(&a.1));
        jobs.truncate(count);
        jobs.into_iter().map(|(job, _)| job).collect()
    }

    /// The last task of a job ends: at that moment its user cancels it, queries it and submits
    /// it again, at any node each.
    pub(super) fn on_job_completed(&mut self, id: JobId) {
        let share = self.cancel_at_completion_share;
        if share <= 0.0 || self.rng.random::<f64>() >= share {
            return;
        }
        let mut soon = || {
            if self.rng.random() { 0.0 } else { self.rng.random_range(AT_COMPLETION_WITHIN_S) }
        };
        let (cancel_s, query_s, submit_s) = (soon(), soon(), soon());
        let (queried, submitted) = (id.clone(), id.clone());
        self.after(cancel_s, move |sim| sim.cancel(id));
        self.after(query_s, move |sim| sim.poll_once(queried));
        self.after(submit_s, move |sim| sim.resubmit(submitted));
    }

    /// A user submits a job once more: it is known, so 200 is the answer.
    pub fn resubmit(&mut self, id: JobId) {
        if let Some(node) = self.any_node() {
            self.resubmit_at(node, id);
        }
    }

    /// The same at this node.
    pub fn resubmit_at(&mut self, node: usize, id: JobId) {
        let Some(spec) = self.invariants.spec(&id) else { return };
        let known = self.invariants.last_state(&id).is_some();
        let request = HttpRequest::submit(&spec);
        self.send_job_request_to(
            node,
            id.clone(),
            request,
            CHANGE_TIMEOUT_S,
            move |sim, answer| {
                let expected = if known { 200 } else { answer.status };
                let description = format!("repeat of {id}");
                sim.invariants.check_status(sim.now, expected, answer.status, &description);
            },
        );
    }
}
