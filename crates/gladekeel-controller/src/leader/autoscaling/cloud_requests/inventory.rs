//! The inventory: compares the cloud's list of machines with the machines that the leader knows.

use crate::leader::{
    Leader, Machine,
    machine::{DeletionReason, ProvisionedAt},
};
use gladekeel_sched::MachineIdx;
use gladekeel_wire::cloud::{ListedMachine, MachinePage, MachineState};
use std::collections::BTreeSet;

impl Leader {
    /// Adds a page of the cloud's list, and applies the whole list once its last page was read.
    pub(super) fn apply_list_page(&mut self, now: f64, page: MachinePage) {
        let Some(rows) = self.cluster.cloud.add_list_page(now, page) else { return };
        let mut listed = BTreeSet::new();
        for row in rows {
            if !self.cluster.cloud.is_deletion_confirmed(&row.name) {
                listed.insert(self.apply_listed_machine(now, row));
            }
        }
        self.count_missing_machines(now, &listed);
    }

    /// Applies the row of one machine in the cloud's list. Adds the machine to the cluster state if
    /// the leader does not know the machine yet, which happens after a takeover.
    fn apply_listed_machine(&mut self, now: f64, row: ListedMachine) -> MachineIdx {
        let machine_idx = self.cluster.machine_names.intern(&row.name);
        let machine = self.cluster.machines.entry(machine_idx).or_insert_with(|| {
            tracing::info!(machine = row.name, "unknown machine adopted from the cloud's list");
            let mut machine = Machine::new(&row.name, now);
            machine.provisioned_at = ProvisionedAt::Time(now - row.age_s);
            machine
        });
        machine.machine_type = Some(self.catalog.intern_machine_type(&row.machine_type));
        machine.spot = row.spot;
        machine.existence_confirmed = true;
        if machine.addr.is_none() {
            machine.addr = row.addr;
        }
        machine.listing.record_listed(row.state);
        if row.state == MachineState::Failed {
            self.cluster.mark_for_deletion(now, machine_idx, DeletionReason::Failed);
        }
        let zone = self.catalog.zones.intern(&row.zone);
        self.set_zone(machine_idx, zone);
        machine_idx
    }

    /// Marks for deletion the machines that are missing from several consecutive lists and whose
    /// workers have not been seen for longer than the heartbeat timeout.
    fn count_missing_machines(&mut self, now: f64, listed: &BTreeSet<MachineIdx>) {
        let timeout_s = self.deployment.workers.heartbeat_timeout_s();
        let mut to_delete = Vec::new();
        for (machine_idx, machine) in &mut self.cluster.machines {
            let is_missing = machine.was_listed()
                && !listed.contains(machine_idx)
                && machine.liveness.since_last_seen_s(now) > timeout_s;
            if is_missing && machine.listing.record_missing() {
                to_delete.push(*machine_idx);
            }
        }
        for machine_idx in to_delete {
            self.cluster.mark_for_deletion(now, machine_idx, DeletionReason::NoLongerListed);
        }
    }

    /// Removes machines whose deletion is confirmed and whose attempts are all released. Called
    /// at each maintenance interval.
    pub(in crate::leader) fn remove_deleted_machines(&mut self, now: f64) {
        self.cluster.cloud.expire_deletions(now);
        let machines = &self.cluster.machines;
        let is_removable = |machine_idx: &MachineIdx| {
            machines.get(machine_idx).is_some_and(|m| m.deletion.is_confirmed() && m.is_idle())
        };
        let removable: Vec<MachineIdx> =
            self.cluster.leaving.iter().copied().filter(is_removable).collect();
        for machine_idx in removable {
            self.cluster.machines.remove(&machine_idx);
            self.cluster.leaving.remove(&machine_idx);
        }
    }
}
