//! The scheduler's view of machines, jobs and teams at one point in time.
//!
//! The leader builds these values for each scheduling cycle. The values hold only indices, amounts
//! and flags: the leader has already determined whether a machine may take tasks and for how long
//! a job is overdue. The modules that make decisions ([`cycle`](crate::cycle),
//! [`preemption`](crate::preemption)) depend on this module, which depends on none of them.

use crate::{DenseIndex, ImageIdx, MachineTypeIdx, Resources, TeamIdx, ZoneIdx};

/// A machine, as a scheduling cycle sees it.
#[derive(Debug, Clone)]
pub struct SchedulableMachine {
    /// Total resources of the machine.
    pub capacity: Resources,
    /// Resources that no task on the machine has requested.
    pub free: Resources,
    /// Type of the machine.
    pub machine_type: MachineTypeIdx,
    /// Zone of the machine.
    pub zone: ZoneIdx,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Images that the machine has or is fetching.
    pub cached_or_fetching: Vec<ImageIdx>,
    /// Images that the machine is known to have.
    pub cached_images: Vec<ImageIdx>,
    /// Whether the machine is fetching an image now, so that another fetch would share the
    /// bandwidth.
    pub fetching: bool,
    /// Whether the machine may take new tasks now.
    pub schedulable: bool,
    /// Whether the machine belongs to the warm pool, which only gangs may use.
    pub warm_pool: bool,
}

/// The state of an image on a machine. Variants are ordered by how soon a task that needs the image
/// can start, soonest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ImageState {
    /// The image is in the machine's cache: a task starts at once.
    Cached,
    /// The machine is fetching the image.
    Fetching,
    /// The image must be fetched, and the machine is not fetching any other image.
    AbsentNetworkIdle,
    /// The image must be fetched while the machine is fetching another image, and the two fetches
    /// share the bandwidth.
    AbsentNetworkBusy,
}

impl SchedulableMachine {
    /// Returns the state of an image on this machine.
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

/// A team's guarantee, limit and usage. Quotas apply to CPUs and GPUs; memory is not counted.
#[derive(Debug, Clone, Copy)]
pub struct TeamQuota {
    /// Resources that the team is guaranteed; other teams must not keep it from using them.
    pub guaranteed: Resources,
    /// Maximum resources that the team may use.
    pub limit: Resources,
    /// Resources that the team's tasks use.
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

    /// Whether the team has borrowed, which means that it uses more than its guarantee.
    pub fn exceeds_guarantee(&self) -> bool {
        !fits_quota(self.used, self.guaranteed)
    }
}

/// Whether the CPUs and GPUs in use are within a quota.
fn fits_quota(used: Resources, quota: Resources) -> bool {
    used.cpus <= quota.cpus && used.gpus <= quota.gpus
}

/// An unfinished job, as a scheduling cycle sees it.
#[derive(Debug, Clone)]
pub struct SchedulableJob {
    /// Team of the job.
    pub team: TeamIdx,
    /// Priority of the job; jobs with a greater value go first.
    pub priority: u8,
    /// Resources that one task requests.
    pub task_request: Resources,
    /// Number of tasks that have not completed.
    pub remaining: u32,
    /// How many of the `remaining` tasks the cycle may place; the cycle takes the rest of the
    /// remaining tasks as assigned.
    pub pending: u32,
    /// How many of the `pending` tasks are speculative restarts: tasks that were stopped as
    /// stragglers.
    pub speculative_restarts: u32,
    /// Container image of the job.
    pub image: ImageIdx,
    /// Allowed machine types; `None` allows any.
    pub machine_types: Option<Vec<MachineTypeIdx>>,
    /// The only allowed zone; `None` allows any.
    pub zone: Option<ZoneIdx>,
    /// Whether all tasks must be in the same zone.
    pub single_zone: bool,
    /// Maximum number of tasks in each zone.
    pub max_tasks_per_zone: u32,
    /// Whether spot machines are allowed.
    pub allows_spot: bool,
    /// Number of the job's tasks on machines in each zone, by zone index; zones beyond the end of
    /// the list have no tasks.
    pub tasks_by_zone: Vec<u32>,
    /// Whether the job is a gang, whose tasks start all together or not at all.
    pub gang: bool,
    /// Whether a gang's pending tasks may be placed while its other tasks stay on their machines,
    /// because the gang has not started and only replaces tasks that it lost. Ignored unless `gang`
    /// is true.
    pub replaces_gang_members: bool,
    /// Seconds for which the job has waited beyond the allowed time without a task on any machine;
    /// 0 if it is not overdue. Jobs with the longest wait go first.
    pub overdue_s: u32,
    /// Whether the job may for now use only machines that have its image, because it should start
    /// sooner than the image can be fetched.
    pub requires_cached_image: bool,
}

impl SchedulableJob {
    /// Returns the number of tasks that are assigned to machines.
    pub(crate) fn assigned(&self) -> u32 {
        self.remaining - self.pending
    }

    /// Whether the job's constraints allow a further task on this machine, regardless of the
    /// machine's free resources.
    pub(crate) fn is_feasible_on(&self, machine: &SchedulableMachine) -> bool {
        (!self.requires_cached_image || machine.cached_images.contains(&self.image))
            && self.may_use(machine.machine_type, machine.zone, machine.spot)
    }

    /// Whether the job's constraints allow a further task on machines of this type, zone and
    /// purchase model.
    pub fn may_use(&self, machine_type: MachineTypeIdx, zone: ZoneIdx, spot: bool) -> bool {
        (self.allows_spot || !spot)
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
