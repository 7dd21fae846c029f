//! Machines: how they boot, hang, resume and are removed, and the events of their workers.

use super::Simulation;
use crate::stand_ins::{
    cloud::RentedMachine,
    resources::Resources,
    worker::{FakeWorker, MachineIdentity, WorkerEvent},
};
use rand::Rng;

impl Simulation {
    /// Starts the worker of a rented machine once the machine has booted. Does nothing if the
    /// machine never boots.
    pub(super) fn boot(&mut self, name: String) {
        let Some(rented) = self.cloud.machines.get(&name).cloned() else { return };
        let Some(booted_at) = rented.booted_at else { return };
        self.after(booted_at - self.now, move |sim| sim.start_worker(name, rented));
    }

    /// Starts the worker of a machine that has booted, unless the machine no longer exists by then.
    fn start_worker(&mut self, name: String, rented: RentedMachine) {
        let present = self.cloud.machines.get(&name).is_some_and(|m| m.removed_at.is_none());
        let machine_type = self.cloud.types.iter().find(|t| t.name == rented.machine_type);
        let Some(machine_type) = machine_type.filter(|_| present) else { return };
        let capacity = Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        };
        let node = self.rng.random_range(0..self.nodes.len());
        let machine = MachineIdentity {
            name: name.clone(),
            machine_type: rented.machine_type,
            zone: rented.zone,
            spot: rented.spot,
        };
        let mut worker = FakeWorker::new(machine, capacity, self.lease_s, self.now, node);
        worker.gang_wait_s = self.gang_wait_s;
        self.workers.insert(name.clone(), worker);
        self.step_worker(name, 0.0);
    }

    /// Returns the number of workers that send their heartbeats to the leader.
    pub fn workers_at_leader(&self) -> usize {
        let leader = self.leader_node();
        self.workers.values().filter(|worker| Some(worker.node) == leader).count()
    }

    /// Removes a machine and kills its tasks.
    pub fn remove_worker(&mut self, name: &str) {
        let Some(mut worker) = self.workers.remove(name) else { return };
        let events = worker.kill_all();
        self.record_events(&worker.machine, events);
    }

    /// Reboots a machine instantly.
    pub fn reboot(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let events = worker.reboot(now);
        let machine = worker.machine.clone();
        self.record_events(&machine, events);
    }

    /// Reclaims a machine for the cloud: announces the termination and removes the machine
    /// `notice_s` seconds later, or removes it at once if `notice_s` is 0.
    pub fn reclaim_machine(&mut self, name: String, notice_s: f64) {
        if let Some(worker) = self.workers.get_mut(&name)
            && notice_s > 0.0
        {
            worker.terminates_at = Some(self.now + notice_s);
            worker.changed = true;
        }
        self.after(notice_s, move |sim| {
            sim.cloud.remove_machine(sim.now, &name);
            sim.remove_worker(&name);
        });
    }

    /// Makes machines hang for `duration_s` seconds.
    pub fn hang(&mut self, names: Vec<String>, duration_s: f64) {
        self.mark_fault_active(duration_s);
        let set_hung = move |sim: &mut Simulation, hung: bool| {
            let now = sim.now;
            for name in &names {
                if let Some(worker) = sim.workers.get_mut(name) {
                    worker.hang(now, hung);
                }
            }
        };
        set_hung(self, true);
        self.after(duration_s, move |sim| set_hung(sim, false));
    }

    /// Advances a machine to the present, sends a heartbeat if one is due, and schedules the next
    /// step.
    pub(super) fn step_worker(&mut self, name: String, heartbeat_at: f64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&name) else { return };
        let events = worker.step(now);
        let machine = worker.machine.clone();
        self.record_events(&machine, events);
        self.execute_queued_commands(&name);
        self.send_delayed_heartbeat(&name);
        let next_heartbeat_at = self.send_due_heartbeat(&name, heartbeat_at);
        self.after(self.worker_step_s, move |sim| sim.step_worker(name, next_heartbeat_at));
    }

    /// Advances all gangs to the present and schedules the next step. Steps are only scheduled in
    /// simulations that have a gang.
    pub(super) fn step_gangs(&mut self) {
        for (name, event) in self.gangs.step(self.now, &mut self.workers) {
            let Some(worker) = self.workers.get(&name) else { continue };
            let machine = worker.machine.clone();
            self.record_events(&machine, vec![event]);
        }
        self.after(self.worker_step_s, Simulation::step_gangs);
    }

    /// Passes the events of a machine's worker to the invariant checker.
    pub(super) fn record_events(&mut self, machine: &MachineIdentity, events: Vec<WorkerEvent>) {
        for event in events {
            match event {
                WorkerEvent::TaskStarted(task) => {
                    self.invariants.on_task_started(self.now, &task, machine);
                }
                WorkerEvent::StartRefused(_) => self.invariants.starts_refused += 1,
                WorkerEvent::GangTaskRunning { task, attempt } => {
                    self.invariants.on_gang_task_running(self.now, &task, attempt);
                }
                WorkerEvent::TaskEnded { task, completed } => {
                    self.invariants.on_task_ended(&task, &machine.name, completed);
                    if completed && self.invariants.all_tasks_completed(&task.job) {
                        self.on_job_completed(task.job);
                    }
                }
            }
        }
    }
}
