//! Machines that are due commands or a probe, and what is open of earlier requests.

use gladekeel_sched::{JobIdx, MachineIdx};
use std::collections::BTreeSet;

/// Requests to workers that are to be made.
#[derive(Debug)]
pub(in crate::leader) struct CommandQueue {
    /// Machines that may be due commands.
    machines: BTreeSet<MachineIdx>,
    /// Gangs all of whose machines may be due commands.
    gangs: BTreeSet<JobIdx>,
    /// Machines that are to be probed.
    probes: BTreeSet<MachineIdx>,
    probes_in_flight: usize,
    max_probes_in_flight: usize,
    /// Machines that have an unanswered start.
    with_unsettled_starts: BTreeSet<MachineIdx>,
    /// Machines that may not have received stops.
    with_undelivered_stops: BTreeSet<MachineIdx>,
}

impl CommandQueue {
    /// An empty queue for a node that makes up to `max_requests` requests to workers at once.
    pub fn new(max_requests: usize) -> CommandQueue {
        CommandQueue {
            machines: BTreeSet::new(),
            gangs: BTreeSet::new(),
            probes: BTreeSet::new(),
            probes_in_flight: 0,
            // Probes of silent machines hang until they time out: they must leave room for
            // commands to others.
            max_probes_in_flight: max_requests / 2,
            with_unsettled_starts: BTreeSet::new(),
            with_undelivered_stops: BTreeSet::new(),
        }
    }

    /// Has the commands sent that a machine is due, if there are any.
    pub fn request_commands(&mut self, machine: MachineIdx) {
        self.machines.insert(machine);
    }

    /// Has the commands sent that each of these machines is due, if there are any.
    pub fn request_commands_on(&mut self, machines: impl IntoIterator<Item = MachineIdx>) {
        self.machines.extend(machines);
    }

    /// Has the commands sent that the machines of a gang are due. Its machines are looked up
    /// when the next request is built, however often this was asked for.
    pub fn request_gang_commands(&mut self, gang: JobIdx) {
        self.gangs.insert(gang);
    }

    /// Has a machine probed: it is asked for a heartbeat.
    pub fn request_probe(&mut self, machine: MachineIdx) {
        self.probes.insert(machine);
    }

    /// Has the stops sent again that may not have been received.
    pub fn retry_undelivered_stops(&mut self) {
        self.machines.append(&mut self.with_undelivered_stops);
    }

    /// Takes the gangs whose machines may be due commands.
    pub(super) fn take_gangs(&mut self) -> BTreeSet<JobIdx> {
        std::mem::take(&mut self.gangs)
    }

    /// Takes the next machine that may be due commands.
    pub(super) fn next_machine(&mut self) -> Option<MachineIdx> {
        self.machines.pop_first()
    }

    /// Takes the next machine to probe, unless as many probes as allowed are in flight.
    pub(super) fn next_probe(&mut self) -> Option<MachineIdx> {
        if self.probes_in_flight >= self.max_probes_in_flight {
            return None;
        }
        self.probes.pop_first()
    }

    /// Counts a probe that is sent.
    pub(super) fn record_probe_sent(&mut self) {
        self.probes_in_flight += 1;
    }

    /// Stops counting a probe that has an outcome.
    pub(super) fn record_probe_outcome(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }

    /// Remembers a machine that may not have received a stop.
    pub(super) fn record_undelivered_stop(&mut self, machine: MachineIdx) {
        self.with_undelivered_stops.insert(machine);
    }

    /// Remembers a machine that has an unanswered start.
    pub(super) fn record_unsettled_start(&mut self, machine: MachineIdx) {
        self.with_unsettled_starts.insert(machine);
    }

    /// Forgets the machines of which `has_unsettled_start` says that they have none any more.
    pub(super) fn retain_unsettled_starts(
        &mut self,
        mut has_unsettled_start: impl FnMut(MachineIdx) -> bool,
    ) {
        self.with_unsettled_starts.retain(|machine| has_unsettled_start(*machine));
    }
}
