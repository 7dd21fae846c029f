//! Machines for jobs that may run in one zone only.
//!
//! The plan for a machine type counts its machines in all zones together. Machines that stand
//! idle in one zone then looked like room for work that is bound to another one, which waited
//! for ever.

use crate::leader::{Job, Leader, autoscaling::cloud_requests::MachinePool};
use gladekeel_sched::{MachineTypeIdx, ZoneIdx};
use std::collections::BTreeMap;

/// Work that is bound to a zone and has waited for longer gets machines of its own.
const BOUND_WAITS_S: f64 = 10.0;

/// Machines, as parts of whole ones, by type and zone.
type ByZone = BTreeMap<(MachineTypeIdx, ZoneIdx), f64>;

impl Leader {
    /// Asks for machines in zones to which waiting work is bound and that lack room for it.
    pub(in crate::leader) fn want_bound_rentals(&mut self, now: f64) {
        let (mut lacking, mut lacking_ordinary) = (ByZone::new(), ByZone::new());
        for job in self.jobs.values().filter(|job| waits_bound(job, now)) {
            let Some(zone) = bound_zone(job) else { continue };
            let Some((kind, fits)) = self.kind_for(job) else { continue };
            let machines = job.pending.len() as f64 / f64::from(fits);
            let by_zone = if job.spec.spot { &mut lacking } else { &mut lacking_ordinary };
            *by_zone.entry((kind, zone)).or_default() += machines;
        }
        if lacking.is_empty() && lacking_ordinary.is_empty() {
            return;
        }
        let (spot, ordinary) = (self.room_by_zone(true), self.room_by_zone(false));
        let room = |of: &ByZone, at: &(MachineTypeIdx, ZoneIdx)| of.get(at).copied().unwrap_or(0.0);
        for (at, machines) in lacking_ordinary {
            let count = (machines - room(&ordinary, &at)).ceil().max(0.0) as u32;
            self.want_in_zone(now, at, count, &[false]);
        }
        for (at, machines) in lacking {
            let count = (machines - room(&spot, &at) - room(&ordinary, &at)).ceil().max(0.0) as u32;
            self.want_in_zone(now, at, count, &[true, false]);
        }
    }

    /// Free room and room to come in each zone, in whole machines.
    fn room_by_zone(&self, spot: bool) -> ByZone {
        let mut room = ByZone::new();
        for machine in self.cluster.machines.values() {
            let (Some(kind), Some(zone)) = (machine.machine_type, machine.zone) else { continue };
            let Some(whole) = self.catalog.capacity(kind) else { continue };
            if machine.spot == spot && !machine.is_leaving() {
                let used = machine.requested().dominant_share_of(whole).min(1.0);
                *room.entry((kind, zone)).or_default() += 1.0 - used;
            }
        }
        for (pool, count) in self.cluster.cloud.open_rentals().filter(|(p, _)| p.spot == spot) {
            *room.entry((pool.kind, pool.zone)).or_default() += f64::from(count);
        }
        room
    }

    /// Asks for machines of the first kind that the cloud may have there.
    fn want_in_zone(
        &mut self,
        now: f64,
        (kind, zone): (MachineTypeIdx, ZoneIdx),
        count: u32,
        kinds: &[bool],
    ) {
        let pools = kinds.iter().map(|spot| MachinePool { kind, zone, spot: *spot });
        let pool = pools.into_iter().find(|pool| self.cluster.cloud.may_have_capacity(*pool, now));
        if let Some(pool) = pool.filter(|_| count > 0) {
            self.cluster.cloud.want(pool, count);
        }
    }
}

/// Whether a job has waited long enough for room in the one zone that it may use.
fn waits_bound(job: &Job, now: f64) -> bool {
    !job.is_finished()
        && !job.pending.is_empty()
        && !job.backoff.is_active(now)
        && job.pending.waited_s(now) > BOUND_WAITS_S
}

/// The only zone in which further tasks of a job may be, if there is only one.
fn bound_zone(job: &Job) -> Option<ZoneIdx> {
    job.zone.or_else(|| job.zone_placement.first_zone().filter(|_| job.spec.single_zone))
}
