//! Machines, jobs, teams and rounds for tests.

#![allow(dead_code, reason = "each test file uses a part")]

use gladekeel_sched::{
    ImageIdx, MachineTypeIdx, Resources, TeamIdx, ZoneIdx,
    cycle::{SchedulableJob, SchedulableMachine, SchedulingCycle, TeamQuota},
};

/// So many CPUs and as much memory.
pub fn room(cpus: f64) -> Resources {
    Resources::requested(cpus, 0.0, cpus)
}

/// An empty, open machine with 32 CPUs.
pub fn machine(zone: u32, spot: bool) -> SchedulableMachine {
    SchedulableMachine {
        capacity: room(32.0),
        free: room(32.0),
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

/// A job whose tasks all wait.
pub fn job(team: u32, cpus: f64, tasks: u32) -> SchedulableJob {
    SchedulableJob {
        team: TeamIdx::new(team),
        priority: 1,
        task_request: room(cpus),
        remaining: tasks,
        pending: tasks,
        speculative_restarts: 0,
        image: ImageIdx::new(0),
        machine_types: None,
        zone: None,
        single_zone: false,
        max_tasks_per_zone: u32::MAX,
        spot: true,
        tasks_by_zone: Vec::new(),
        gang: false,
        replaces_gang_members: false,
        overdue_s: 0,
        requires_cached_image: false,
    }
}

/// A team that uses nothing.
pub fn team(guarantee: f64, limit: f64) -> TeamQuota {
    TeamQuota { guaranteed: room(guarantee), limit: room(limit), used: Resources::default() }
}

/// A round with all of these machines.
pub fn round(
    machines: Vec<SchedulableMachine>,
    teams: Vec<TeamQuota>,
    jobs: Vec<SchedulableJob>,
) -> SchedulingCycle {
    let whole = machines.iter().fold(Resources::default(), |sum, m| sum + m.capacity);
    SchedulingCycle {
        machines,
        total_capacity: whole,
        teams,
        jobs,
        max_bindings: 1000,
        machines_examined: 0,
    }
}
