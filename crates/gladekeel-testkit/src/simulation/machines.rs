//! Machines: how they come and go, their reports and the commands to them.

use super::{ANSWER_S, Endpoint, Simulation};
use crate::stand_ins::worker::{FakeWorker, WorkerEvent};
use gladekeel_controller::{
    leader::{WorkerOutcome, WorkerRequest},
    node::{CallId, Event},
};
use gladekeel_wire::{
    TaskId,
    worker::{Command, DirectCommands, HeartbeatResponse, Redirect},
};
use rand::Rng;

impl Simulation {
    pub(super) fn call_worker(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: WorkerRequest,
        timeout_s: f64,
    ) {
        self.after(timeout_s, move |sim| {
            sim.event(node, incarnation, Event::Worker { call, outcome: WorkerOutcome::Unknown });
        });
        for command in request.body.iter().flat_map(|body| &body.commands) {
            if let Command::Start { task, .. } = command {
                self.invariants.sent_directly(self.now, task);
            }
        }
        if request.body.is_some() && self.occurs(self.message_faults.delayed_command_share) {
            return self.delay_command(request);
        }
        // Addresses of workers are their machines' names here.
        let Some(worker) = self.workers.get(&request.addr) else { return };
        let zone = worker.zone.clone();
        self.deliver(&Endpoint::Node(node), &Endpoint::Worker(zone.clone()), move |sim| {
            let Some(worker) = sim.workers.get_mut(&request.addr) else { return };
            if worker.hung {
                return worker.queued_commands.extend(request.body);
            }
            if worker.inbound_partitioned {
                return;
            }
            let outcome = match &request.body {
                Some(body) => sim.direct(&request.addr, body),
                None => WorkerOutcome::Done(worker.heartbeat(sim.now)),
            };
            sim.deliver(&Endpoint::Worker(zone), &Endpoint::Node(node), move |sim| {
                sim.event(node, incarnation, Event::Worker { call, outcome });
            });
        });
    }

    pub(super) fn direct(&mut self, name: &str, body: &DirectCommands) -> WorkerOutcome {
        let Some(worker) = self.workers.get_mut(name) else { return WorkerOutcome::NotExecuted };
        let invariants = &self.invariants;
        let find = |task: &TaskId| invariants.task_spec(task);
        let (executed, events) = worker.handle_direct_commands(self.now, body, &find);
        let report = worker.heartbeat(self.now);
        let (kind, zone, spot) = (worker.machine_type.clone(), worker.zone.clone(), worker.spot);
        self.note(name, &kind, &zone, spot, events);
        if self.start_tasks_twice {
            let answer = HeartbeatResponse { token: body.token, commands: body.commands.clone() };
            self.start_on_second_worker(name, &answer);
        }
        if executed { WorkerOutcome::Done(report) } else { WorkerOutcome::NotExecuted }
    }

    pub(super) fn boot(&mut self, name: String) {
        let Some(machine) = self.cloud.machines.get(&name).cloned() else { return };
        let Some(up_at) = machine.up_at else { return };
        self.after(up_at - self.now, move |sim| {
            let there = sim.cloud.machines.get(&name).is_some_and(|m| m.gone_at.is_none());
            let Some(kind) = sim.cloud.types.iter().find(|t| t.name == machine.machine_type) else {
                return;
            };
            if !there {
                return;
            }
            let room = (kind.cpus, kind.gpus, kind.memory_gb);
            let node = sim.rng.random_range(0..sim.nodes.len());
            let mut worker = FakeWorker::new(
                name.clone(),
                machine.machine_type,
                machine.zone,
                machine.spot,
                room,
                sim.lease_s,
                sim.now,
                node,
            );
            worker.gang_wait_s = sim.gang_wait_s;
            sim.workers.insert(name.clone(), worker);
            sim.step_worker(name, 0.0);
        });
    }

    /// How many workers report to the leader itself.
    pub fn workers_at_leader(&self) -> usize {
        let leading = self.leading();
        self.workers.values().filter(|worker| Some(worker.node) == leading).count()
    }

    /// A machine is gone with everything on it.
    pub fn remove_worker(&mut self, name: &str) {
        let Some(mut worker) = self.workers.remove(name) else { return };
        let events = worker.kill_all();
        self.note(name, &worker.machine_type, &worker.zone, worker.spot, events);
    }

    /// A machine is back from a restart at once.
    pub fn reboot(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let events = worker.reboot(now);
        let (kind, zone, spot) = (worker.machine_type.clone(), worker.zone.clone(), worker.spot);
        self.note(name, &kind, &zone, spot, events);
    }

    /// The cloud takes a machine, with a notice or without.
    pub fn terminate_machine(&mut self, name: String, notice_s: f64) {
        if let Some(worker) = self.workers.get_mut(&name)
            && notice_s > 0.0
        {
            worker.terminates_at = Some(self.now + notice_s);
            worker.changed = true;
        }
        self.after(notice_s, move |sim| {
            sim.cloud.take(sim.now, &name);
            sim.remove_worker(&name);
        });
    }

    fn note(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        events: Vec<WorkerEvent>,
    ) {
        for what in events {
            match what {
                WorkerEvent::TaskStarted(task) => {
                    self.invariants.started(self.now, &task, name, machine_type, zone, spot);
                }
                WorkerEvent::StartRefused(_) => self.invariants.starts_without_room += 1,
                WorkerEvent::GangTaskRunning { task, attempt } => {
                    self.invariants.runs(self.now, &task, attempt);
                }
                WorkerEvent::TaskEnded { task, completed } => {
                    self.invariants.ended(&task, name, completed);
                    if completed && self.invariants.has_finished(&task.job) {
                        self.at_completion(task.job);
                    }
                }
            }
        }
    }

    /// Lets gangs go on; asks for nothing in worlds without one.
    pub(super) fn step_gangs(&mut self) {
        for (name, what) in self.gangs.step(self.now, &mut self.workers) {
            let Some(worker) = self.workers.get(&name) else { continue };
            let (kind, zone, spot) =
                (worker.machine_type.clone(), worker.zone.clone(), worker.spot);
            self.note(&name, &kind, &zone, spot, vec![what]);
        }
        self.after(self.step_s, Simulation::step_gangs);
    }

    fn step_worker(&mut self, name: String, report_at: f64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&name) else { return };
        let events = worker.step(now);
        if !worker.hung && !worker.queued_commands.is_empty() {
            // A machine that goes on carries out what reached it meanwhile.
            let held = std::mem::take(&mut worker.queued_commands);
            for body in held {
                self.direct(&name, &body);
            }
        }
        self.send_delayed_heartbeat(&name);
        let Some(worker) = self.workers.get_mut(&name) else { return };
        let (machine_type, zone, spot) =
            (worker.machine_type.clone(), worker.zone.clone(), worker.spot);
        let due = now >= report_at || (worker.changed && now >= report_at - self.report_s + 0.5);
        let sends = due && worker.in_flight.is_none() && !worker.hung;
        let mut next = report_at;
        if sends {
            worker.changed = false;
            let report = worker.heartbeat(now);
            worker.in_flight = Some(report.sequence);
            next = now + self.report_s * self.rng.random_range(0.75..1.25);
            self.send_heartbeat(name.clone(), report);
        }
        self.note(&name, &machine_type, &zone, spot, events);
        self.after(self.step_s, move |sim| sim.step_worker(name, next));
    }

    /// The report that a machine was about to send when it hung goes out when it goes on,
    /// before newer ones or after them. Its answer is too late to count.
    fn send_delayed_heartbeat(&mut self, name: &str) {
        let Some(worker) =
            self.workers.get_mut(name).filter(|w| !w.hung && !w.outbound_partitioned)
        else {
            return;
        };
        let Some((made_at, report)) = worker.delayed_heartbeat.take() else { return };
        if self.now - made_at < ANSWER_S {
            return;
        }
        let (node, from) = (worker.node, Endpoint::Worker(worker.zone.clone()));
        let body = serde_json::to_vec(&report).unwrap_or_default();
        let after_s = self.rng.random_range(0.0..3.0);
        self.after(after_s, move |sim| {
            sim.request(from, node, ("POST", "/checkin".into(), body), ANSWER_S, |_, _| {});
        });
    }

    fn send_heartbeat(&mut self, name: String, report: gladekeel_wire::worker::Heartbeat) {
        let Some(worker) = self.workers.get(&name) else { return };
        let (node, zone, sent_at) = (worker.node, worker.zone.clone(), self.now);
        if worker.outbound_partitioned {
            // It cannot open a connection and tries the next node.
            let nodes = self.nodes.len();
            return self.after(1.0, move |sim| {
                if let Some(worker) = sim.workers.get_mut(&name) {
                    worker.node = (node + 1) % nodes;
                    worker.changed = true;
                    worker.in_flight = None;
                }
            });
        }
        if self.rng.random::<f64>() < self.duplicated_heartbeat_share {
            let after_s = self.rng.random_range(1.0..3.0 * self.lease_s);
            let (node, from) =
                (self.rng.random_range(0..self.nodes.len()), Endpoint::Worker(zone.clone()));
            let body = serde_json::to_vec(&report).unwrap_or_default();
            self.after(after_s, move |sim| {
                let request = ("POST", "/checkin".to_owned(), body);
                sim.request(from, node, request, ANSWER_S, |_, _| {});
            });
        }
        self.maybe_retain_heartbeat(Endpoint::Worker(zone.clone()), &report);
        let (session, seq) = (report.incarnation, report.sequence);
        let body = serde_json::to_vec(&report).unwrap_or_default();
        let request = ("POST", "/checkin".to_owned(), body);
        self.request(Endpoint::Worker(zone), node, request, ANSWER_S, move |sim, reply| {
            let nodes = sim.nodes.len();
            let Some(worker) = sim.workers.get_mut(&name) else { return };
            let reply =
                reply.filter(|_| !worker.inbound_partitioned && !worker.outbound_partitioned);
            if worker.hung || worker.incarnation != session || worker.in_flight != Some(seq) {
                worker.in_flight = None;
                return;
            }
            let answer = reply
                .as_ref()
                .filter(|reply| reply.status == 200)
                .and_then(|reply| serde_json::from_slice::<HeartbeatResponse>(&reply.body).ok());
            if let Some(answer) = answer {
                worker.in_flight = None;
                for command in &answer.commands {
                    if let Command::Start { task, .. } = command {
                        sim.invariants.sent_in_answer(task);
                    }
                }
                let invariants = &sim.invariants;
                let find = |task: &TaskId| invariants.task_spec(task);
                let events =
                    worker.handle_heartbeat_response(sim.now, session, sent_at, &answer, &find);
                let (kind, zone, spot) =
                    (worker.machine_type.clone(), worker.zone.clone(), worker.spot);
                sim.note(&name, &kind, &zone, spot, events);
                if sim.start_tasks_twice {
                    sim.start_on_second_worker(&name, &answer);
                }
                return;
            }
            let elsewhere = reply
                .filter(|reply| reply.status == 421)
                .and_then(|reply| serde_json::from_slice::<Redirect>(&reply.body).ok()?.report_to);
            let named = elsewhere
                .and_then(|name| sim.nodes.iter().position(|host| host.settings.node == name));
            worker.node = named.filter(|named| *named != node).unwrap_or((node + 1) % nodes);
            let pause = if named.is_some_and(|named| named != node) { 0.2 } else { 1.0 };
            worker.changed = true;
            sim.after(pause, move |sim| {
                if let Some(worker) = sim.workers.get_mut(&name) {
                    worker.in_flight = None;
                }
            });
        });
    }

    /// Starts what a worker was told to start on another machine as well.
    fn start_on_second_worker(&mut self, name: &str, answer: &HeartbeatResponse) {
        if answer.commands.is_empty() {
            return;
        }
        let starts: Vec<Command> = answer
            .commands
            .iter()
            .filter(|c| matches!(c, Command::Start { .. }))
            .cloned()
            .collect();
        let now = self.now;
        let Some((_, other)) = self.workers.iter_mut().find(|(other, _)| *other != name) else {
            return;
        };
        let invariants = &self.invariants;
        let find = |task: &TaskId| invariants.spec(&task.job);
        let answer = HeartbeatResponse { token: answer.token, commands: starts };
        let session = other.incarnation;
        other.handle_heartbeat_response(now, session, now, &answer, &find);
    }

    /// Machines hang for a while.
    pub fn hang(&mut self, names: Vec<String>, for_s: f64) {
        self.fault_lasts(for_s);
        let set = move |sim: &mut Simulation, on: bool| {
            let now = sim.now;
            for name in &names {
                if let Some(worker) = sim.workers.get_mut(name) {
                    worker.hang(now, on);
                }
            }
        };
        set(self, true);
        self.after(for_s, move |sim| set(sim, false));
    }
}
