//! Malformed and repeated requests, each with the one status that its response must have.

use super::{Endpoint, Simulation, requests::HttpRequest};
use crate::{invariants::Invariant, scenario::example_job};
use gladekeel_wire::{
    JobId,
    job::{JobSpec, JobState},
};

/// How long the sender of a malformed or repeated request waits for a response, in seconds.
const TIMEOUT_S: f64 = 5.0;

/// JSON fields without which a submission is refused.
const REQUIRED_FIELDS: [&str; 17] = [
    "name_id",
    "rig",
    "crew",
    "build",
    "urgency",
    "pieces",
    "vcpus",
    "gpus",
    "ram_gb",
    "pattern",
    "size_gb",
    "one_zone",
    "scatter",
    "driftwood",
    "reckon_s",
    "mark_s",
    "stow_s",
];

/// Returns a submission that lacks one required field; `round` selects the field.
fn job_without_field(round: usize) -> Vec<u8> {
    let job = example_job(&format!("job-7{round:05}"));
    let mut value = serde_json::to_value(&job).unwrap_or_default();
    if let Some(object) = value.as_object_mut() {
        object.remove(REQUIRED_FIELDS[round % REQUIRED_FIELDS.len()]);
    }
    value.to_string().into_bytes()
}

/// Returns a job that can never run; `round` selects the reason.
fn impossible_job(round: usize) -> JobSpec {
    let mut job = example_job(&format!("job-8{round:05}"));
    match round % 4 {
        0 => job.cpus = 33.0,
        1 => job.machine_types = Some(vec!["none".into()]),
        2 => job.zone = Some("nowhere".into()),
        _ => job.team = "nobody".into(),
    }
    job
}

impl Simulation {
    /// Sends malformed and repeated requests, one of each kind a second, up to the time `until`: a
    /// resubmission of an unfinished job, a cancellation of a done job, a submission that lacks a
    /// field, and a job that can never run, which is also queried.
    pub fn send_malformed_requests(&mut self, until: f64) {
        if self.now >= until {
            return;
        }
        self.malformed_requests += 1;
        let round = self.malformed_requests as usize;
        let unfinished = self.select_job(round, |state| !state.is_final());
        let done = self.select_job(round, |state| state == JobState::Done);
        if let Some(id) = unfinished {
            self.resubmit(id);
        }
        if let Some(id) = done {
            self.cancel(id);
        }
        self.expect_refusal(job_without_field(round), 400);
        let impossible = impossible_job(round);
        self.poll_once(impossible.id.clone());
        self.expect_refusal(serde_json::to_vec(&impossible).unwrap_or_default(), 422);
        self.after(1.0, move |sim| sim.send_malformed_requests(until));
    }

    /// Returns a submitted job whose last observed state satisfies `is_wanted`; `round` selects
    /// the job. Returns `None` if there is no such job.
    fn select_job(&self, round: usize, is_wanted: fn(JobState) -> bool) -> Option<JobId> {
        let jobs = self.submitted_jobs.iter();
        let jobs: Vec<&JobId> =
            jobs.filter(|id| self.invariants.last_state(id).is_some_and(is_wanted)).collect();
        jobs.get(round % jobs.len().max(1)).copied().cloned()
    }

    /// Sends a submission that must be refused with the status `expected`, unless it is rate
    /// limited, gets a temporary error or gets no response.
    fn expect_refusal(&mut self, body: Vec<u8>, expected: u16) {
        let Some(node) = self.pick_running_node() else { return };
        let text = String::from_utf8_lossy(&body).into_owned();
        let request = HttpRequest::post("/api/jobs", body);
        self.request(Endpoint::Users, node, request, TIMEOUT_S, move |sim, reply| {
            let status = reply.map_or(0, |reply| reply.status);
            sim.invariants.check_response_status(sim.now, expected, status, &text);
        });
    }

    /// Sends bodies that are not a valid request to a node, on several paths.
    pub fn send_invalid_bytes(&mut self, node: usize) {
        let bodies: [&[u8]; 5] = [b"", b"{", b"[1,2]", b"\xff\xfe\x00", b"{\"name_id\":7}"];
        for path in ["/api/jobs", "/checkin", "/api/jobs/job-%/cancel", "/api/jobs//", "/"] {
            for body in bodies {
                let request = HttpRequest::post(path, body.to_vec());
                self.request(Endpoint::Users, node, request, TIMEOUT_S, |sim, reply| {
                    let status = reply.map_or(0, |reply| reply.status);
                    sim.invariants.check_invalid_bytes_status(status);
                });
            }
        }
    }

    /// Sends a request to a node; the response must have the status `expected`.
    pub fn expect_status(
        &mut self,
        node: usize,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        expected: u16,
    ) {
        let description = format!("{method} {path}");
        self.request(
            Endpoint::Users,
            node,
            HttpRequest { method, path, body },
            TIMEOUT_S,
            move |sim, reply| {
                let status = reply.as_ref().map_or(0, |reply| reply.status);
                if status != expected {
                    let body = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
                    let details = format!("{description}: {status} {body:?}, expected {expected}");
                    sim.invariants.report(Invariant::ScenarioResponse, details);
                }
            },
        );
    }
}
