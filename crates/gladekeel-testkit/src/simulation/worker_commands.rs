//! Direct requests from controllers to workers, which are sent outside heartbeat responses: direct
//! commands, and queries of a worker's state.

use super::{Endpoint, Simulation};
use gladekeel_controller::{
    leader::{WorkerOutcome, WorkerRequest},
    node::{CallId, Event},
};
use gladekeel_wire::{
    TaskId,
    worker::{Command, DirectCommands, HeartbeatResponse},
};

impl Simulation {
    /// Sends a direct request from a node to a worker. If no response arrives within `timeout_s`,
    /// the outcome is [`WorkerOutcome::Unknown`].
    pub(super) fn call_worker(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: WorkerRequest,
        timeout_s: f64,
    ) {
        self.after(timeout_s, move |sim| {
            sim.handle_event(
                node,
                incarnation,
                Event::Worker { call, outcome: WorkerOutcome::Unknown },
            );
        });
        self.record_direct_starts(&request);
        if request.body.is_some() && self.occurs(self.message_faults.delayed_command_share) {
            return self.delay_command(request);
        }
        // In the simulation, the address of a worker is the name of its machine.
        let Some(worker) = self.workers.get(&request.addr) else { return };
        let zone = worker.machine.zone.clone();
        self.deliver(&Endpoint::Node(node), &Endpoint::Worker(zone.clone()), move |sim| {
            let commands = request.body.clone();
            let addr = request.addr.clone();
            let Some(outcome) = sim.receive_direct_request(request) else { return };
            if let (WorkerOutcome::Done(_), Some(commands)) = (&outcome, commands) {
                sim.maybe_copy_commands(addr, commands);
            }
            sim.deliver(&Endpoint::Worker(zone), &Endpoint::Node(node), move |sim| {
                sim.handle_event(node, incarnation, Event::Worker { call, outcome });
            });
        });
    }

    fn record_direct_starts(&mut self, request: &WorkerRequest) {
        for command in request.body.iter().flat_map(|body| &body.commands) {
            if let Command::Start { task, .. } = command {
                self.invariants.on_direct_start_sent(self.now, task);
            }
        }
    }

    /// Passes a direct request to a worker. Returns the outcome, or `None` if the worker sends no
    /// response.
    fn receive_direct_request(&mut self, request: WorkerRequest) -> Option<WorkerOutcome> {
        let worker = self.workers.get_mut(&request.addr)?;
        if worker.hung {
            worker.queued_commands.extend(request.body);
            return None;
        }
        if worker.inbound_partitioned {
            return None;
        }
        Some(match &request.body {
            Some(body) => self.execute_direct_commands(&request.addr, body),
            None => WorkerOutcome::Done(worker.heartbeat(self.now)),
        })
    }

    /// Executes direct commands on a worker and returns the outcome.
    pub(super) fn execute_direct_commands(
        &mut self,
        name: &str,
        body: &DirectCommands,
    ) -> WorkerOutcome {
        let Some(worker) = self.workers.get_mut(name) else { return WorkerOutcome::NotExecuted };
        let invariants = &self.invariants;
        let find_spec = |task: &TaskId| invariants.task_spec(task);
        let (executed, events) = worker.handle_direct_commands(self.now, body, &find_spec);
        worker.record_kept_results(|task| invariants.is_completed(task));
        let heartbeat = worker.heartbeat(self.now);
        let machine = worker.machine.clone();
        self.record_events(&machine, events);
        if self.start_tasks_twice {
            let response = HeartbeatResponse { token: body.token, commands: body.commands.clone() };
            self.start_on_second_worker(name, &response);
        }
        if executed { WorkerOutcome::Done(heartbeat) } else { WorkerOutcome::NotExecuted }
    }

    /// Executes the direct commands that arrived while a machine hung, if the machine has resumed.
    pub(super) fn execute_queued_commands(&mut self, name: &str) {
        let Some(worker) = self.workers.get_mut(name).filter(|worker| !worker.hung) else { return };
        for body in std::mem::take(&mut worker.queued_commands) {
            self.execute_direct_commands(name, &body);
        }
    }

    /// Implements the seeded fault `start_tasks_twice`: executes the start commands that a worker
    /// received on another worker too.
    pub(super) fn start_on_second_worker(&mut self, name: &str, response: &HeartbeatResponse) {
        if response.commands.is_empty() {
            return;
        }
        let starts = response.commands.iter().filter(|c| matches!(c, Command::Start { .. }));
        let commands: Vec<Command> = starts.cloned().collect();
        let now = self.now;
        let mut others = self.workers.iter_mut().filter(|(other, _)| *other != name);
        let Some((_, other)) = others.next() else { return };
        let invariants = &self.invariants;
        let find_spec = |task: &TaskId| invariants.spec(&task.job);
        let response = HeartbeatResponse { token: response.token, commands };
        let incarnation = other.incarnation;
        other.handle_heartbeat_response(now, incarnation, now, &response, &find_spec);
    }
}
