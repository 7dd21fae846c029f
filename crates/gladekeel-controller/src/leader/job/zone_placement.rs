//! The distribution of a job's attempts over zones.

use gladekeel_sched::{DenseIndex, ZoneIdx};

/// The number of a job's attempts in each zone. An attempt is included from its proposal until its
/// release is committed, so that zone constraints cover every attempt that may still be running.
#[derive(Debug, Default)]
pub struct ZonePlacement {
    by_zone: Vec<u32>,
    in_unknown_zone: u32,
}

impl ZonePlacement {
    /// Returns the number of attempts by zone index; zones beyond the end have none.
    pub fn by_zone(&self) -> &[u32] {
        &self.by_zone
    }

    /// Whether any attempt is on a machine whose zone is not known. After a takeover, a machine's
    /// zone is unknown until the leader receives the machine's first heartbeat or the list of
    /// machines.
    pub fn has_unknown_zone(&self) -> bool {
        self.in_unknown_zone > 0
    }

    /// Returns the first zone that has an attempt; `None` if no known zone has one.
    pub fn first_zone(&self) -> Option<ZoneIdx> {
        self.by_zone.iter().position(|tasks| *tasks > 0).map(ZoneIdx::from_position)
    }

    /// Counts an attempt in `zone`, which is `None` if the zone of the attempt's machine is not
    /// known yet.
    pub(in crate::leader) fn add(&mut self, zone: Option<ZoneIdx>) {
        *self.count_mut(zone) += 1;
    }

    /// Removes an attempt from the count of `zone`, which must be the zone in which the attempt was
    /// counted.
    pub(in crate::leader) fn remove(&mut self, zone: Option<ZoneIdx>) {
        let count = self.count_mut(zone);
        *count = count.saturating_sub(1);
    }

    /// Returns the counter of the attempts in `zone`, or of those in unknown zones if `zone` is
    /// `None`.
    fn count_mut(&mut self, zone: Option<ZoneIdx>) -> &mut u32 {
        let Some(zone) = zone else { return &mut self.in_unknown_zone };
        let position = zone.position();
        if self.by_zone.len() <= position {
            self.by_zone.resize(position + 1, 0);
        }
        &mut self.by_zone[position]
    }
}
