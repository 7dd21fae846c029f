//! The scheduler's view of machines, jobs and teams at one point in time.
//!
//! The leader builds these values for each scheduling cycle. They hold indices and amounts only:
//! whether a machine may take work, or how long a job is overdue, has been decided by then. The
//! modules that decide ([`cycle`](crate::cycle), [`preemption`](crate::preemption)) depend on
//! this one, and this one on none of them.

use crate::{DenseIndex, ImageIdx, MachineTypeIdx, Resources, TeamIdx, ZoneIdx};

/// A machine that may take work.
#[derive(Debug, Clone)]
pub struct SchedulableMachine {
    /// What it has in all.
    pub capacity: Resources,
    /// What no task has requested.
    pub free: Resources,
    /// Its type.
    pub machine_type: MachineTypeIdx,
    /// Its zone.
    pub zone: ZoneIdx,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Images that it has or fetches.
    pub cached_or_fetching: Vec<ImageIdx>,
    /// Images that it has for certain.
    pub cached_images: Vec<ImageIdx>,
    /// Whether it fetches an image now: another fetch would share its bandwidth.
    pub fetching: bool,
    /// Whether it takes new work now.
    pub schedulable: bool,
    /// Whether it belongs to the warm pool, which only gangs may use.
    pub warm_pool: bool,
}

/// How soon a machine can start a task with an image, the soonest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ImageState {
    /// In the machine's cache: a task starts at once.
    Cached,
    /// Being fetched.
    Fetching,
    /// To be fetched; the machine fetches nothing else.
    AbsentNetworkIdle,
    /// To be fetched, beside another image that shares the bandwidth.
    AbsentNetworkBusy,
}

impl SchedulableMachine {
    /// The state of an image on this machine.
    pub(crate) fn image_state(&self, image: ImageIdx) -> ImageState {
        if self.cached_images.contains(&image) {
            ImageState::Cached
        } else if self.cached_or_fetching.contains(&image) {
            ImageState::Fetching
        } else if self.fetching {
            ImageState::AbsentNetworkBusy
        } else {
            ImageState::AbsentNetworkIdle
        }
    }
}

/// A team's guarantee, limit and use. Quotas are in CPUs and GPUs; memory is not counted.
#[derive(Debug, Clone, Copy)]
pub struct TeamQuota {
    /// What other teams may not keep from it.
    pub guaranteed: Resources,
    /// The maximum that it may use.
    pub limit: Resources,
    /// What its tasks use.
    pub used: Resources,
}

impl TeamQuota {
    /// Whether the team stays within its limit with a further request.
    pub fn within_limit(&self, request: Resources) -> bool {
        fits_quota(self.used + request, self.limit)
    }

    /// Whether the team stays within its guarantee with a further request.
    pub fn within_guarantee(&self, request: Resources) -> bool {
        fits_quota(self.used + request, self.guaranteed)
    }

    /// Whether the team has borrowed: it uses more than it is guaranteed.
    pub fn exceeds_guarantee(&self) -> bool {
        !fits_quota(self.used, self.guaranteed)
    }
}

fn fits_quota(used: Resources, quota: Resources) -> bool {
    used.cpus <= quota.cpus && used.gpus <= quota.gpus
}

/// A job with tasks to place.
#[derive(Debug, Clone)]
pub struct SchedulableJob {
    /// Its team.
    pub team: TeamIdx,
    /// The greater one goes first.
    pub priority: u8,
    /// What one task requests.
    pub task_request: Resources,
    /// Tasks that have not completed.
    pub remaining: u32,
    /// Tasks of these that are on no machine.
    pub pending: u32,
    /// Pending tasks that are speculative restarts.
    pub speculative_restarts: u32,
    /// Its container image.
    pub image: ImageIdx,
    /// Allowed machine types; `None` allows any.
    pub machine_types: Option<Vec<MachineTypeIdx>>,
    /// The only allowed zone, if there is one.
    pub zone: Option<ZoneIdx>,
    /// Whether all tasks must be in one zone.
    pub single_zone: bool,
    /// The maximum of tasks in a zone.
    pub max_tasks_per_zone: u32,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Tasks on machines, by zone; zones beyond the end have none.
    pub tasks_by_zone: Vec<u32>,
    /// Whether all of its tasks start together or none does.
    pub gang: bool,
    /// Whether it is a gang that has not started and lacks tasks that are gone.
    pub replaces_gang_members: bool,
    /// For how long it has waited beyond the allowed time with nothing on any machine, in
    /// seconds: the longest wait goes first.
    pub overdue_s: u32,
    /// Whether it should start sooner than its image can be fetched, so that for now only
    /// machines with the image will do.
    pub requires_cached_image: bool,
}

impl SchedulableJob {
    /// Tasks that are on machines.
    pub(crate) fn assigned(&self) -> u32 {
        self.remaining - self.pending
    }

    /// Whether the job's constraints allow a further task on this machine; its free resources
    /// are not looked at.
    pub(crate) fn is_feasible_on(&self, machine: &SchedulableMachine) -> bool {
        (!self.requires_cached_image || machine.cached_images.contains(&self.image))
            && self.may_use(machine.machine_type, machine.zone, machine.spot)
    }

    /// Whether the job's constraints allow a further task on machines of this pool.
    pub fn may_use(&self, machine_type: MachineTypeIdx, zone: ZoneIdx, spot: bool) -> bool {
        (self.spot || !spot)
            && self.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type))
            && self.zone.is_none_or(|only| only == zone)
            && self.tasks_by_zone.get(zone.position()).copied().unwrap_or(0)
                < self.max_tasks_per_zone
            && (!self.single_zone || self.has_no_task_outside(zone))
    }

    fn has_no_task_outside(&self, zone: ZoneIdx) -> bool {
        let mut tasks_by_zone = self.tasks_by_zone.iter().enumerate();
        tasks_by_zone.all(|(position, tasks)| *tasks == 0 || position == zone.position())
    }
}
