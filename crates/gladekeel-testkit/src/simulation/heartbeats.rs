//! Heartbeats of workers and the responses to them.

use super::{Endpoint, RESPONSE_TIMEOUT_S, Simulation, requests::HttpRequest};
use gladekeel_controller::http_api::Reply;
use gladekeel_wire::{
    TaskId,
    worker::{Command, Heartbeat, HeartbeatResponse, Redirect},
};
use rand::Rng;
use std::ops::Range;

/// Minimum time between two heartbeats of a worker whose state has changed.
const MIN_HEARTBEAT_INTERVAL_S: f64 = 0.5;
/// Time between two heartbeats of a worker as a multiple of the heartbeat interval, drawn at random
/// so that workers do not send in lockstep.
const HEARTBEAT_JITTER: Range<f64> = 0.75..1.25;
/// How long a worker waits before it contacts the node to which it was redirected.
const REDIRECT_PAUSE_S: f64 = 0.2;
/// How long a worker waits before it contacts the next node after a failure.
const RETRY_PAUSE_S: f64 = 1.0;
/// Time between the moment a hung machine resumes and the sending of its delayed heartbeat.
const DELAYED_HEARTBEAT_S: Range<f64> = 0.0..3.0;

/// A heartbeat that awaits its response.
struct HeartbeatInFlight {
    worker: String,
    node: usize,
    incarnation: u64,
    sequence: u64,
    sent_at: f64,
}

impl Simulation {
    /// Sends a heartbeat of a worker if one is due. Returns the time at which the next heartbeat is
    /// due.
    pub(super) fn send_due_heartbeat(&mut self, name: &str, heartbeat_at: f64) -> f64 {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return heartbeat_at };
        let earliest_at = heartbeat_at - self.heartbeat_interval_s + MIN_HEARTBEAT_INTERVAL_S;
        let due = now >= heartbeat_at || (worker.changed && now >= earliest_at);
        if !due || worker.in_flight.is_some() || worker.hung {
            return heartbeat_at;
        }
        worker.changed = false;
        let heartbeat = worker.heartbeat(now);
        worker.in_flight = Some(heartbeat.sequence);
        let next_heartbeat_at =
            now + self.heartbeat_interval_s * self.rng.random_range(HEARTBEAT_JITTER);
        self.send_heartbeat(name.to_owned(), &heartbeat);
        next_heartbeat_at
    }

    /// After a hung machine has resumed, sends the heartbeat that its worker was about to send when
    /// the machine hung. Newer heartbeats may arrive first. The response arrives after the response
    /// timeout and is ignored. A heartbeat whose response could still be in time is dropped.
    pub(super) fn send_delayed_heartbeat(&mut self, name: &str) {
        let worker = self.workers.get_mut(name);
        let Some(worker) = worker.filter(|w| !w.hung && !w.outbound_partitioned) else { return };
        let Some(delayed) = worker.delayed_heartbeat.take() else { return };
        if self.now - delayed.created_at < RESPONSE_TIMEOUT_S {
            return;
        }
        let (node, from) = (worker.node, Endpoint::Worker(worker.machine.zone.clone()));
        let after_s = self.rng.random_range(DELAYED_HEARTBEAT_S);
        self.send_stale_heartbeat(from, node, &delayed.heartbeat, after_s);
    }

    /// Sends a heartbeat after `after_s` seconds; the response is ignored.
    fn send_stale_heartbeat(
        &mut self,
        from: Endpoint,
        node: usize,
        heartbeat: &Heartbeat,
        after_s: f64,
    ) {
        let request = HttpRequest::heartbeat(heartbeat);
        self.after(after_s, move |sim| {
            sim.request(from, node, request, RESPONSE_TIMEOUT_S, |_, _| {});
        });
    }

    fn send_heartbeat(&mut self, name: String, heartbeat: &Heartbeat) {
        let Some(worker) = self.workers.get(&name) else { return };
        let (node, from) = (worker.node, Endpoint::Worker(worker.machine.zone.clone()));
        if worker.outbound_partitioned {
            return self.fail_to_connect(name, node);
        }
        if self.rng.random::<f64>() < self.duplicated_heartbeat_share {
            let after_s = self.rng.random_range(1.0..3.0 * self.lease_s);
            let node = self.rng.random_range(0..self.nodes.len());
            self.send_stale_heartbeat(from.clone(), node, heartbeat, after_s);
        }
        self.maybe_retain_heartbeat(from.clone(), heartbeat);
        let in_flight = HeartbeatInFlight {
            worker: name,
            node,
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            sent_at: self.now,
        };
        let request = HttpRequest::heartbeat(heartbeat);
        self.largest_heartbeat_bytes = self.largest_heartbeat_bytes.max(request.body.len());
        self.request(from, node, request, RESPONSE_TIMEOUT_S, move |sim, reply| {
            sim.receive_heartbeat_response(&in_flight, reply.as_ref());
        });
    }

    /// Switches a worker to the next node, because the worker cannot connect to `node`.
    fn fail_to_connect(&mut self, name: String, node: usize) {
        let nodes = self.nodes.len();
        self.after(RETRY_PAUSE_S, move |sim| {
            if let Some(worker) = sim.workers.get_mut(&name) {
                worker.node = (node + 1) % nodes;
                worker.changed = true;
                worker.in_flight = None;
            }
        });
    }

    fn receive_heartbeat_response(&mut self, in_flight: &HeartbeatInFlight, reply: Option<&Reply>) {
        let Some(worker) = self.workers.get_mut(&in_flight.worker) else { return };
        let stale = worker.incarnation != in_flight.incarnation
            || worker.in_flight != Some(in_flight.sequence);
        if worker.hung || stale {
            worker.in_flight = None;
            return;
        }
        let partitioned = worker.inbound_partitioned || worker.outbound_partitioned;
        let reply = reply.filter(|_| !partitioned);
        let response = reply
            .filter(|reply| reply.status == 200)
            .and_then(|reply| serde_json::from_slice::<HeartbeatResponse>(&reply.body).ok());
        match response {
            Some(response) => self.accept_heartbeat_response(in_flight, &response),
            None => self.follow_redirect(in_flight, reply),
        }
    }

    fn accept_heartbeat_response(
        &mut self,
        in_flight: &HeartbeatInFlight,
        response: &HeartbeatResponse,
    ) {
        for command in &response.commands {
            if let Command::Start { task, .. } = command {
                self.invariants.on_start_in_heartbeat_response(task);
            }
        }
        let Some(worker) = self.workers.get_mut(&in_flight.worker) else { return };
        worker.in_flight = None;
        let invariants = &self.invariants;
        let find_spec = |task: &TaskId| invariants.task_spec(task);
        let HeartbeatInFlight { incarnation, sent_at, .. } = *in_flight;
        let events =
            worker.handle_heartbeat_response(self.now, incarnation, sent_at, response, &find_spec);
        worker.record_kept_results(|task| invariants.is_completed(task));
        let machine = worker.machine.clone();
        self.record_events(&machine, events);
        if self.start_tasks_twice {
            self.start_on_second_worker(&in_flight.worker, response);
        }
    }

    /// Switches a worker to the node that the reply names in a redirect, or to the next node if the
    /// reply is no redirect to another node.
    fn follow_redirect(&mut self, in_flight: &HeartbeatInFlight, reply: Option<&Reply>) {
        let target = reply
            .filter(|reply| reply.status == 421)
            .and_then(|reply| serde_json::from_slice::<Redirect>(&reply.body).ok()?.controller)
            .and_then(|name| self.nodes.iter().position(|node| node.settings.node == name));
        let redirected_to = target.filter(|target| *target != in_flight.node);
        let nodes = self.nodes.len();
        let Some(worker) = self.workers.get_mut(&in_flight.worker) else { return };
        worker.node = redirected_to.unwrap_or((in_flight.node + 1) % nodes);
        worker.changed = true;
        let pause_s = if redirected_to.is_some() { REDIRECT_PAUSE_S } else { RETRY_PAUSE_S };
        let name = in_flight.worker.clone();
        self.after(pause_s, move |sim| {
            if let Some(worker) = sim.workers.get_mut(&name) {
                worker.in_flight = None;
            }
        });
    }
}
