//! Requests that have to be refused, and repeats.

use super::{Endpoint, Simulation};
use gladekeel_wire::{JobId, job::JobState};

impl Simulation {
    /// Users' odd requests, one of each kind a second: a repeat of an unfinished job, a
    /// cancellation of a done one, jobs that lack a field or fit no machine.
    pub fn send_malformed_requests(&mut self, until: f64) {
        if self.now >= until {
            return;
        }
        self.malformed_requests += 1;
        let turn = self.malformed_requests as usize;
        let pick = |ids: Vec<JobId>| ids.get(turn % ids.len().max(1)).cloned();
        let told = |wanted: fn(JobState) -> bool| {
            let ids = self.submitted_jobs.iter();
            pick(ids.filter(|id| self.invariants.last(id).is_some_and(wanted)).cloned().collect())
        };
        let (open, done) = (told(|s| !s.is_final()), told(|s| s == JobState::Done));
        if let Some(id) = open {
            self.submit_again(id);
        }
        if let Some(id) = done {
            self.cancel(id);
        }
        let fields = [
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
        let mut lacking = crate::scenario::example_job(&format!("job-7{turn:05}"));
        let mut value = serde_json::to_value(&lacking).unwrap_or_default();
        if let Some(object) = value.as_object_mut() {
            object.remove(fields[turn % fields.len()]);
        }
        self.expect_refusal(value.to_string().into_bytes(), 400);
        lacking.id = format!("job-8{turn:05}").parse().expect("an id of the form");
        match turn % 4 {
            0 => lacking.cpus = 33.0,
            1 => lacking.machine_types = Some(vec!["none".into()]),
            2 => lacking.zone = Some("nowhere".into()),
            _ => lacking.team = "nobody".into(),
        }
        self.poll_once(lacking.id.clone());
        self.expect_refusal(serde_json::to_vec(&lacking).unwrap_or_default(), 422);
        self.after(1.0, move |sim| sim.send_malformed_requests(until));
    }

    /// Sends a submission that has to be refused with this status, or be put off.
    fn expect_refusal(&mut self, body: Vec<u8>, wanted: u16) {
        let Some(node) = self.any_node() else { return };
        let text = String::from_utf8_lossy(&body).into_owned();
        let request = ("POST", "/api/jobs".to_owned(), body);
        self.request(Endpoint::Users, node, request, 5.0, move |sim, reply| {
            let got = reply.map_or(0, |reply| reply.status);
            sim.invariants.check_status(sim.now, wanted, got, &text);
        });
    }

    /// Sends bytes that nobody should send to a node, on every path.
    pub fn send_junk(&mut self, node: usize) {
        let bodies: [&[u8]; 5] = [b"", b"{", b"[1,2]", b"\xff\xfe\x00", b"{\"name_id\":7}"];
        for path in ["/api/jobs", "/checkin", "/api/jobs/job-%/cancel", "/api/jobs//", "/"] {
            for body in bodies {
                let request = ("POST", path.to_owned(), body.to_vec());
                self.request(Endpoint::Users, node, request, 5.0, |sim, reply| {
                    let status = reply.map_or(0, |reply| reply.status);
                    if !(400..500).contains(&status) && status != 503 {
                        sim.invariants.broken.push(("junk", format!("junk was answered {status}")));
                    }
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
        let what = format!("{method} {path}");
        self.request(Endpoint::Users, node, (method, path, body), 5.0, move |sim, reply| {
            let got = reply.as_ref().map_or(0, |reply| reply.status);
            if got != status {
                let body = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
                sim.invariants
                    .broken
                    .push(("http", format!("{what}: {got} {body:?}, not {status}")));
            }
        });
    }
}
