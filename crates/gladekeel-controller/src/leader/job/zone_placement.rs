//! In which zones a job's attempts are.

use gladekeel_sched::{DenseIndex, ZoneIdx};

/// How many attempts of a job there are in each zone. Attempts count from their proposal until
/// their release is committed, so that zone constraints hold for whatever may still run.
#[derive(Debug, Default)]
pub struct ZonePlacement {
    by_zone: Vec<u32>,
    in_unknown_zone: u32,
}

impl ZonePlacement {
    /// Attempts by zone index; zones beyond the end have none.
    pub fn by_zone(&self) -> &[u32] {
        &self.by_zone
    }

    /// Whether an attempt is on a machine whose zone is not known. After a takeover that is so
    /// until the machine's first heartbeat or the list of machines.
    pub fn has_unknown_zone(&self) -> bool {
        self.in_unknown_zone > 0
    }

    /// The first zone that has an attempt.
    pub fn first_zone(&self) -> Option<ZoneIdx> {
        self.by_zone.iter().position(|tasks| *tasks > 0).map(ZoneIdx::from_position)
    }

    /// Counts an attempt; `None` if the zone of its machine is not known yet.
    pub(in crate::leader) fn add(&mut self, zone: Option<ZoneIdx>) {
        *self.count_mut(zone) += 1;
    }

    /// Stops counting an attempt that was added with this zone.
    pub(in crate::leader) fn remove(&mut self, zone: Option<ZoneIdx>) {
        let count = self.count_mut(zone);
        *count = count.saturating_sub(1);
    }

    fn count_mut(&mut self, zone: Option<ZoneIdx>) -> &mut u32 {
        let Some(zone) = zone else { return &mut self.in_unknown_zone };
        let position = zone.position();
        if self.by_zone.len() <= position {
            self.by_zone.resize(position + 1, 0);
        }
        &mut self.by_zone[position]
    }
}
