//! Users: their submissions, queries and cancellations, and how they retry these requests.

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

/// Time between the submission of a job by `submit_after` and the cancellation of the job.
const CANCELLATION_DELAY_S: Range<f64> = 0.0..12.0;
/// How long a user waits for the response to a submission or a cancellation.
const CHANGE_TIMEOUT_S: f64 = 5.0;
/// How long a user waits for the response to a query.
const QUERY_TIMEOUT_S: f64 = 2.0;
/// Pause before a user retries a request.
const RETRY_PAUSE_S: f64 = 1.0;
/// Time between two queries of a user who polls a job.
const POLL_INTERVAL_S: f64 = 5.0;
/// How long a user retries a request.
const RETRY_DURATION_S: f64 = 60.0;
/// Delay of each cancellation of `cancel_longest_remaining`.
const CANCEL_LONGEST_REMAINING_DELAY_S: Range<f64> = 0.0..0.2;
/// Maximum number of machines that `cancel_longest_remaining` hangs.
const MAX_HUNG_MACHINES: usize = 8;
/// Delay after which users cancel, query and resubmit a job that has just completed.
const AT_COMPLETION_DELAY_S: Range<f64> = 0.0..0.4;

/// The status and job state that a user observes in a response.
#[derive(Debug, Clone, Copy)]
pub(super) struct ObservedResponse {
    /// The HTTP status code; 0 without a response.
    pub status: u16,
    /// The state of the job, if the response reports the state.
    pub state: Option<JobState>,
}

impl Simulation {
    /// Picks a running node at random, as a load balancer would. Returns `None` if no node runs.
    pub(super) fn pick_running_node(&mut self) -> Option<usize> {
        let running: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].process.is_some()).collect();
        (!running.is_empty()).then(|| running[self.rng.random_range(0..running.len())])
    }

    /// Sends a request about a job to any running node.
    fn send_job_request(
        &mut self,
        job: JobId,
        request: HttpRequest,
        timeout_s: f64,
        handler: impl FnOnce(&mut Simulation, ObservedResponse) + 'static,
    ) {
        let Some(node) = self.pick_running_node() else {
            let no_response = ObservedResponse { status: 0, state: None };
            return self.after(RETRY_PAUSE_S, move |sim| handler(sim, no_response));
        };
        self.send_job_request_to(node, job, request, timeout_s, handler);
    }

    /// Sends a request about a job to a node, and checks the response against the invariants.
    fn send_job_request_to(
        &mut self,
        node: usize,
        job: JobId,
        request: HttpRequest,
        timeout_s: f64,
        handler: impl FnOnce(&mut Simulation, ObservedResponse) + 'static,
    ) {
        let submits = request.path == "/api/jobs";
        let kind = if submits { JobRequest::Submit } else { JobRequest::Other };
        let sent_at = self.now;
        self.request(Endpoint::Users, node, request, timeout_s, move |sim, reply| {
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            let reported = reply
                .and_then(|reply| serde_json::from_slice::<JobStatus>(&reply.body).ok())
                .filter(|reported| reported.id == job);
            let observed =
                ObservedResponse { status, state: reported.map(|reported| reported.state) };
            let response = JobResponse {
                sent_at,
                received_at: sim.now,
                request: kind,
                status,
                state: observed.state,
            };
            sim.invariants.on_response(&job, &response);
            sim.probe_after_new_state(&job, observed);
            handler(sim, observed);
        });
    }

    /// Submits a job as a user does: retries until a node accepts or refuses the job, for at most
    /// `RETRY_DURATION_S`. Polls an accepted job until the job is final.
    pub fn submit(&mut self, spec: JobSpec) {
        self.invariants.on_submission(&spec);
        self.submitted_jobs.push(spec.id.clone());
        if spec.kind == JobKind::Gang && !self.gang_steps_scheduled {
            self.gang_steps_scheduled = true;
            self.step_gangs();
        }
        self.try_submit(spec, self.now);
    }

    /// Submits a job after `after_s` seconds. With probability `cancelled_share`, cancels the job
    /// soon after its submission.
    pub fn submit_after(&mut self, spec: JobSpec, after_s: f64, cancelled_share: f64) {
        let id = spec.id.clone();
        self.after(after_s, move |sim| sim.submit(spec));
        if self.occurs(cancelled_share) {
            let after_s = after_s + self.rng.random_range(CANCELLATION_DELAY_S);
            self.after(after_s, move |sim| sim.cancel(id));
        }
    }

    /// Sends a submission. Retries until a node accepts or refuses the job, or until
    /// `RETRY_DURATION_S` after `first_sent_at`. Once a node has accepted the job, polls the job.
    fn try_submit(&mut self, spec: JobSpec, first_sent_at: f64) {
        let request = HttpRequest::submit(&spec);
        let id = spec.id.clone();
        self.send_job_request(id.clone(), request, CHANGE_TIMEOUT_S, move |sim, response| {
            match response.status {
                200 | 201 => sim.after(RETRY_PAUSE_S, move |sim| sim.poll(id)),
                400 | 422 => {}
                _ if sim.now - first_sent_at > RETRY_DURATION_S => sim.abandoned_submissions += 1,
                _ => sim.after(RETRY_PAUSE_S, move |sim| sim.try_submit(spec, first_sent_at)),
            }
        });
    }

    /// Queries a job repeatedly until the job is final or unknown.
    pub fn poll(&mut self, id: JobId) {
        let request = HttpRequest::query(&id);
        self.send_job_request(id.clone(), request, QUERY_TIMEOUT_S, move |sim, response| {
            let stop = response.state.is_some_and(JobState::is_final) || response.status == 404;
            if !stop {
                sim.after(POLL_INTERVAL_S, move |sim| sim.poll(id));
            }
        });
    }

    /// Queries a job once, through any node.
    pub fn poll_once(&mut self, id: JobId) {
        if let Some(node) = self.pick_running_node() {
            self.poll_node(node, id);
        }
    }

    /// Queries a job once, through this node.
    pub fn poll_node(&mut self, node: usize, id: JobId) {
        let request = HttpRequest::query(&id);
        self.send_job_request_to(node, id, request, QUERY_TIMEOUT_S, |_, _| {});
    }

    /// Cancels a job through any node; see [`Simulation::cancel_via`].
    pub fn cancel(&mut self, id: JobId) {
        self.cancel_via(id, Vec::new());
    }

    /// Cancels a job through one of the nodes in `via`, or through any node if `via` is empty.
    /// Retries until the response has status 200 or `RETRY_DURATION_S` has passed.
    pub fn cancel_via(&mut self, id: JobId, via: Vec<usize>) {
        self.invariants.on_cancel_request(&id);
        self.try_cancel(id, via, self.now);
    }

    fn try_cancel(&mut self, id: JobId, via: Vec<usize>, first_sent_at: f64) {
        let request = HttpRequest::cancel(&id);
        let job = id.clone();
        let nodes = via.clone();
        let retry = move |sim: &mut Simulation, response: ObservedResponse| {
            if response.status != 200 && sim.now - first_sent_at < RETRY_DURATION_S {
                sim.after(RETRY_PAUSE_S, move |sim| sim.try_cancel(job, nodes, first_sent_at));
            }
        };
        if via.is_empty() {
            return self.send_job_request(id, request, CHANGE_TIMEOUT_S, retry);
        }
        let node = via[self.rng.random_range(0..via.len())];
        self.send_job_request_to(node, id, request, CHANGE_TIMEOUT_S, retry);
    }

    /// Cancels the running jobs that would end last, all at once, each through one of the nodes in
    /// `via` or, if `via` is empty, through any node. Some machines of these jobs hang for `hang_s`
    /// seconds.
    pub fn cancel_longest_remaining(&mut self, count: usize, via: Vec<usize>, hang_s: f64) {
        let jobs = self.longest_remaining_jobs(count);
        if hang_s > 0.0 {
            let hosts_task = |worker: &&FakeWorker| {
                worker.tasks.iter().any(|task| jobs.contains(&task.task.job))
            };
            let names = self.workers.values().filter(hosts_task).map(|w| w.machine.name.clone());
            let names: Vec<String> = names.take(MAX_HUNG_MACHINES).collect();
            self.hang(names, hang_s);
        }
        for id in jobs {
            let after_s = self.rng.random_range(CANCEL_LONGEST_REMAINING_DELAY_S);
            let via = via.clone();
            self.after(after_s, move |sim| sim.cancel_via(id, via));
        }
    }

    /// Returns the `count` running jobs that would end last, the last one first. Leaves out jobs of
    /// which a user has observed a final state.
    fn longest_remaining_jobs(&self, count: usize) -> Vec<JobId> {
        let mut ends_at: BTreeMap<JobId, f64> = BTreeMap::new();
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        for task in tasks.filter(|task| task.state == TaskState::Running) {
            let job_ends_at = ends_at.entry(task.task.job.clone()).or_default();
            *job_ends_at = job_ends_at.max(task.state_ends_at);
        }
        let unfinished =
            |job: &JobId| !self.invariants.last_state(job).is_some_and(JobState::is_final);
        let mut jobs: Vec<(JobId, f64)> =
            ends_at.into_iter().filter(|(job, _)| unfinished(job)).collect();
        jobs.sort_by(|a, b| b.1.total_cmp(&a.1));
        jobs.truncate(count);
        jobs.into_iter().map(|(job, _)| job).collect()
    }

    /// Called when the last task of a job completes. For a share of the jobs, users then cancel,
    /// query and resubmit the job, each through any node.
    pub(super) fn on_job_completed(&mut self, id: JobId) {
        let share = self.cancel_at_completion_share;
        if share <= 0.0 || self.rng.random::<f64>() >= share {
            return;
        }
        let mut draw_delay_s = || {
            if self.rng.random() { 0.0 } else { self.rng.random_range(AT_COMPLETION_DELAY_S) }
        };
        let (cancel_s, query_s, submit_s) = (draw_delay_s(), draw_delay_s(), draw_delay_s());
        let (queried, submitted) = (id.clone(), id.clone());
        self.after(cancel_s, move |sim| sim.cancel(id));
        self.after(query_s, move |sim| sim.poll_once(queried));
        self.after(submit_s, move |sim| sim.resubmit(submitted));
    }

    /// Submits a job once more, through any node. The response must have status 200 if a user has
    /// observed that the job was accepted.
    pub fn resubmit(&mut self, id: JobId) {
        if let Some(node) = self.pick_running_node() {
            self.resubmit_at(node, id);
        }
    }

    /// Submits a job once more, through this node; see [`Simulation::resubmit`].
    pub fn resubmit_at(&mut self, node: usize, id: JobId) {
        let Some(spec) = self.invariants.spec(&id) else { return };
        let accepted = self.invariants.last_state(&id).is_some();
        let request = HttpRequest::submit(&spec);
        self.send_job_request_to(
            node,
            id.clone(),
            request,
            CHANGE_TIMEOUT_S,
            move |sim, response| {
                let expected = if accepted { 200 } else { response.status };
                let description = format!("resubmission of {id}");
                sim.invariants.check_response_status(
                    sim.now,
                    expected,
                    response.status,
                    &description,
                );
            },
        );
    }
}
