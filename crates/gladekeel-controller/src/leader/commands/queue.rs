//! The queue of machines to which commands or a probe are to be sent. The queue also records on
//! which machines an earlier start may still be executed, or an earlier stop possibly did not
//! arrive.

use gladekeel_sched::{JobIdx, MachineIdx};
use std::collections::BTreeSet;

/// Machines to which requests are to be sent.
#[derive(Debug)]
pub(in crate::leader) struct CommandQueue {
    /// Machines for which commands may be due.
    machines: BTreeSet<MachineIdx>,
    /// Gangs for whose machines commands may be due.
    gangs: BTreeSet<JobIdx>,
    /// Machines that are to be probed.
    probes: BTreeSet<MachineIdx>,
    probes_in_flight: usize,
    max_probes_in_flight: usize,
    /// Machines to which a start was sent that received no response and may still be executed.
    with_unanswered_starts: BTreeSet<MachineIdx>,
    /// Machines to which a stop was sent that possibly did not arrive.
    with_undelivered_stops: BTreeSet<MachineIdx>,
    /// Whether a machine lists so many ended attempts that it gets no direct starts.
    direct_starts_withheld: bool,
}

impl CommandQueue {
    /// Creates an empty queue for a node that sends at most `max_requests` concurrent requests to
    /// workers.
    pub fn new(max_requests: usize) -> CommandQueue {
        CommandQueue {
            machines: BTreeSet::new(),
            gangs: BTreeSet::new(),
            probes: BTreeSet::new(),
            probes_in_flight: 0,
            // A probe of an unreachable machine hangs until it times out. Half of the requests are
            // kept free of probes for commands to other machines.
            max_probes_in_flight: max_requests / 2,
            with_unanswered_starts: BTreeSet::new(),
            with_undelivered_stops: BTreeSet::new(),
            direct_starts_withheld: false,
        }
    }

    /// Requests that the commands due for a machine be sent, if there are any.
    pub fn request_commands(&mut self, machine: MachineIdx) {
        self.machines.insert(machine);
    }

    /// Requests that the commands due for each of these machines be sent, if there are any.
    pub fn request_commands_on(&mut self, machines: impl IntoIterator<Item = MachineIdx>) {
        self.machines.extend(machines);
    }

    /// Requests that the commands due for the machines of a gang be sent. The machines are looked
    /// up once, when the next request is built, however often this function is called.
    pub fn request_gang_commands(&mut self, gang: JobIdx) {
        self.gangs.insert(gang);
    }

    /// Requests a probe of a machine: a request without commands, to which the worker responds
    /// with a heartbeat.
    pub fn request_probe(&mut self, machine: MachineIdx) {
        self.probes.insert(machine);
    }

    /// Requests a retry of the stops that possibly did not arrive.
    pub fn retry_undelivered_stops(&mut self) {
        self.machines.append(&mut self.with_undelivered_stops);
    }

    /// Takes the gangs for whose machines commands may be due.
    pub(super) fn take_gangs(&mut self) -> BTreeSet<JobIdx> {
        std::mem::take(&mut self.gangs)
    }

    /// Takes the next machine for which commands may be due.
    pub(super) fn next_machine(&mut self) -> Option<MachineIdx> {
        self.machines.pop_first()
    }

    /// Takes the next machine to probe; `None` while the maximum number of probes is in flight.
    pub(super) fn next_probe(&mut self) -> Option<MachineIdx> {
        if self.probes_in_flight >= self.max_probes_in_flight {
            return None;
        }
        self.probes.pop_first()
    }

    /// Records that a probe is being sent, which is in flight from now on.
    pub(super) fn record_probe_sent(&mut self) {
        self.probes_in_flight += 1;
    }

    /// Records that a probe has an outcome and is no longer in flight.
    pub(super) fn record_probe_outcome(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }

    /// Records that a stop for a machine possibly did not arrive.
    pub(super) fn record_undelivered_stop(&mut self, machine: MachineIdx) {
        self.with_undelivered_stops.insert(machine);
    }

    /// Records that a machine gets no direct starts because of the ended attempts that it lists.
    pub(super) fn record_withheld_starts(&mut self) {
        self.direct_starts_withheld = true;
    }

    /// Whether any machine gets no direct starts because of the ended attempts that it lists.
    pub(super) fn are_direct_starts_withheld(&self) -> bool {
        self.direct_starts_withheld
    }

    /// Records that a start for a machine received no response.
    pub(super) fn record_unanswered_start(&mut self, machine: MachineIdx) {
        self.with_unanswered_starts.insert(machine);
    }

    /// Removes from `with_unanswered_starts` each machine for which `has_unanswered_start` is false.
    pub(super) fn retain_unanswered_starts(
        &mut self,
        mut has_unanswered_start: impl FnMut(MachineIdx) -> bool,
    ) {
        self.with_unanswered_starts.retain(|machine| has_unanswered_start(*machine));
    }
}
