//! Machines, jobs, teams and rounds for tests.

#![allow(dead_code, reason = "each test file uses a part")]

use gladekeel_sched::{
    Room,
    place::{Job, Machine, Round, Team},
};

/// So many CPUs and as much memory.
pub fn room(cpus: f64) -> Room {
    Room::taken(cpus, 0.0, cpus)
}

/// An empty, open machine with 32 CPUs.
pub fn machine(zone: u32, spot: bool) -> Machine {
    Machine {
        whole: room(32.0),
        free: room(32.0),
        kind: 0,
        zone,
        spot,
        images: Vec::new(),
        ready: Vec::new(),
        fetching: false,
        open: true,
        standby: false,
    }
}

/// A job whose tasks all wait.
pub fn job(team: u32, cpus: f64, tasks: u32) -> Job {
    Job {
        team,
        priority: 1,
        task: room(cpus),
        remaining: tasks,
        pending: tasks,
        restarts: 0,
        image: 0,
        kinds: None,
        zone: None,
        one_zone: false,
        zone_cap: u32::MAX,
        spot: true,
        by_zone: Vec::new(),
        gang: false,
        completes: false,
        overdue: 0,
        hurried: false,
    }
}

/// A team that uses nothing.
pub fn team(guarantee: f64, limit: f64) -> Team {
    Team { guarantee: room(guarantee), limit: room(limit), used: Room::default() }
}

/// A round with all of these machines.
pub fn round(machines: Vec<Machine>, teams: Vec<Team>, jobs: Vec<Job>) -> Round {
    let whole = machines.iter().fold(Room::default(), |sum, m| sum + m.whole);
    Round { machines, whole, teams, jobs, most: 1000, looked: 0 }
}
