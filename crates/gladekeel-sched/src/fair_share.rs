//! Virtual sizes and the division of room (the thesis's Pseudocode 1 with its floors).

/// A job as the division sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Tasks that have not completed, running ones included.
    pub remaining: u32,
    /// Room that one task takes, as a part of all room.
    pub task_share: f64,
}

/// What is open to measurement in the design.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairShare {
    /// Tail of the Pareto distribution of run times.
    pub beta: f64,
    /// Part of an equal share by which a floor may fall below it.
    pub epsilon: f64,
}

impl Default for FairShare {
    fn default() -> Self {
        FairShare { beta: 1.2, epsilon: 0.1 }
    }
}

impl FairShare {
    /// V = 2/β × remaining tasks.
    pub fn virtual_size(&self, remaining: u32) -> f64 {
        2.0 / self.beta * f64::from(remaining)
    }

    /// Divides `room` between jobs; returns each one's part, in the unit of `room`.
    ///
    /// Sizes count in tasks for the order of jobs, and in the room that these
    /// tasks take for how far the room reaches, so that with tasks of one size
    /// this is the thesis's rule to the letter.
    pub fn allocate(&self, claims: &[Demand], room: f64) -> Vec<f64> {
        let wants: Vec<f64> =
            claims.iter().map(|c| self.virtual_size(c.remaining) * c.task_share).collect();
        let total: f64 = wants.iter().sum();
        if total <= 0.0 || room <= 0.0 {
            return vec![0.0; claims.len()];
        }
        if total <= room {
            return wants.iter().map(|want| room * want / total).collect();
        }
        let floor = room / claims.len() as f64 * (1.0 - self.epsilon);
        let mut parts: Vec<f64> = wants.iter().map(|want| want.min(floor)).collect();
        let mut left = room - parts.iter().sum::<f64>();
        for index in self.smallest_first(claims) {
            let more = (wants[index] - parts[index]).clamp(0.0, left.max(0.0));
            parts[index] += more;
            left -= more;
        }
        parts
    }

    /// Indices of the jobs, smallest virtual size first; ties keep their order.
    pub fn smallest_first(&self, claims: &[Demand]) -> Vec<usize> {
        let mut order: Vec<usize> = (0..claims.len()).collect();
        order.sort_by_key(|index| claims[*index].remaining);
        order
    }
}
