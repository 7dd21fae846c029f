//! Builders of machines, jobs, teams and scheduling cycles for tests.

#![allow(dead_code, reason = "each test file uses only some of the builders")]

use gladekeel_sched::{
    ImageIdx, MachineTypeIdx, Resources, TeamIdx, ZoneIdx,
    cycle::SchedulingCycle,
    snapshot::{SchedulableJob, SchedulableMachine, TeamQuota},
};

/// An amount of `cpus` CPUs, with one GB of memory for each CPU.
pub fn resources(cpus: f64) -> Resources {
    Resources::requested(cpus, 0.0, cpus)
}

/// A schedulable machine with 32 CPUs, no tasks and no images.
pub fn machine(zone: u32, spot: bool) -> SchedulableMachine {
    SchedulableMachine {
        capacity: resources(32.0),
        free: resources(32.0),
        machine_type: MachineTypeIdx::new(0),
        zone: ZoneIdx::new(zone),
        spot,
        cached_or_fetching: Vec::new(),
        cached_images: Vec::new(),
        fetching: false,
        schedulable: true,
        warm_pool: false,
    }
}

/// A job whose tasks are all pending and request `cpus` CPUs each.
pub fn job(team: u32, cpus: f64, tasks: u32) -> SchedulableJob {
    SchedulableJob {
        team: TeamIdx::new(team),
        priority: 1,
        task_request: resources(cpus),
        remaining: tasks,
        pending: tasks,
        speculative_restarts: 0,
        image: ImageIdx::new(0),
        machine_types: None,
        zone: None,
        single_zone: false,
        max_tasks_per_zone: u32::MAX,
        allows_spot: true,
        tasks_by_zone: Vec::new(),
        gang: false,
        replaces_gang_members: false,
        overdue_s: 0,
        requires_cached_image: false,
    }
}

/// A team that uses no resources; its guarantee and limit are in CPUs.
pub fn team(guarantee: f64, limit: f64) -> TeamQuota {
    TeamQuota {
        guaranteed: resources(guarantee),
        limit: resources(limit),
        used: Resources::default(),
    }
}

/// A scheduling cycle whose total capacity is that of the given machines.
pub fn cycle(
    machines: Vec<SchedulableMachine>,
    teams: Vec<TeamQuota>,
    jobs: Vec<SchedulableJob>,
) -> SchedulingCycle {
    let total_capacity = machines.iter().fold(Resources::default(), |sum, m| sum + m.capacity);
    SchedulingCycle {
        machines,
        total_capacity,
        teams,
        jobs,
        max_bindings: 1000,
        machines_examined: 0,
    }
}
