//! Malformed and repeated requests, each with the one status that it must get.

use super::{Endpoint, Simulation, requests::HttpRequest};
use crate::{invariants::Invariant, scenario::example_job};
use gladekeel_wire::{
    JobId,
    job::{JobSpec, JobState},
};

/// How long the sender waits for an answer.
const TIMEOUT_S: f64 = 5.0;

/// Fields that no submission may lack.
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

/// A submission that lacks a field, another one each time.
fn job_without_field(turn: usize) -> Vec<u8> {
    let job = example_job(&format!("job-7{turn:05}"));
    let mut value = serde_json::to_value(&job).unwrap_or_default();
    if let Some(object) = value.as_object_mut() {
        object.remove(REQUIRED_FIELDS[turn % REQUIRED_FIELDS.len()]);
    }
    value.to_string().into_bytes()
}

/// A job that can never run, for another reason each time.
fn impossible_job(turn: usize) -> JobSpec {
    let mut job = example_job(&format!("job-8{turn:05}"));
    match turn % 4 {
        0 => job.cpus = 33.0,
        1 => job.machine_types = Some(vec!["none".into()]),
        2 => job.zone = Some("nowhere".into()),
        _ => job.team = "nobody".into(),
    }
    job
}

impl Simulation {
    /// Sends malformed and repeated requests, one of each kind a second: a repeat of an
    /// unfinished job, a cancellation of a done one, jobs that lack a field or fit no machine.
    pub fn send_malformed_requests(&mut self, until: f64) {
        if self.now >= until {
            return;
        }
        self.malformed_requests += 1;
        let turn = self.malformed_requests as usize;
        let unfinished = self.nth_job(turn, |state| !state.is_final());
        let done = self.nth_job(turn, |state| state == JobState::Done);
        if let Some(id) = unfinished {
            self.resubmit(id);
        }
        if let Some(id) = done {
            self.cancel(id);
        }
        self.expect_refusal(job_without_field(turn), 400);
        let impossible = impossible_job(turn);
        self.poll_once(impossible.id.clone());
        self.expect_refusal(serde_json::to_vec(&impossible).unwrap_or_default(), 422);
        self.after(1.0, move |sim| sim.send_malformed_requests(until));
    }

    /// One of the submitted jobs whose user knows it to be in such a state, another each time.
    fn nth_job(&self, turn: usize, is_wanted: fn(JobState) -> bool) -> Option<JobId> {
        let jobs = self.submitted_jobs.iter();
        let jobs: Vec<&JobId> =
            jobs.filter(|id| self.invariants.last_state(id).is_some_and(is_wanted)).collect();
        jobs.get(turn % jobs.len().max(1)).copied().cloned()
    }

    /// Sends a submission that has to be refused with this status, or be put off.
    fn expect_refusal(&mut self, body: Vec<u8>, wanted: u16) {
        let Some(node) = self.any_node() else { return };
        let text = String::from_utf8_lossy(&body).into_owned();
        let request = HttpRequest::post("/api/jobs", body);
        self.request(Endpoint::Users, node, request, TIMEOUT_S, move |sim, reply| {
            let got = reply.map_or(0, |reply| reply.status);
            sim.invariants.check_status(sim.now, wanted, got, &text);
        });
    }

    /// Sends bytes that are no request to a node, on every path.
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

    /// Sends a request to a node, whose answer must have this status.
    pub fn expect_status(
        &mut self,
        node: usize,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        status: u16,
    ) {
        let description = format!("{method} {path}");
        self.request(
            Endpoint::Users,
            node,
            HttpRequest { method, path, body },
            TIMEOUT_S,
            move |sim, reply| {
                let got = reply.as_ref().map_or(0, |reply| reply.status);
                if got != status {
                    let body = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
                    let details = format!("{description}: {got} {body:?}, not {status}");
                    sim.invariants.report(Invariant::ScenarioResponse, details);
                }
            },
        );
    }
}
