//! Random disruptions, alone and together, while users submit, ask and cancel at all nodes.

use super::{pecos, preview_cut, seconds};
use crate::{
    Verdict,
    world::{Site, World},
};
use gladekeel_wire::{
    JobId,
    job::{JobKind, JobSpec, JobState, Priority},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc};
use tokio::{task::spawn_local, time::sleep};

pub fn site() -> Site {
    let mut site = pecos(3);
    site.report_s = 3.0;
    site.teams = vec![("catalog-desk", 64.0, 160.0), ("composer-relations", 32.0, 64.0)];
    site.machine.boot_s = 2.0;
    site
}

/// What users know of a job.
#[derive(Default)]
struct Known {
    accepted: bool,
    asked_to_cancel: bool,
    last: Option<JobState>,
    tasks: usize,
}

type Jobs = Rc<RefCell<BTreeMap<JobId, Known>>>;

fn random_job(number: u32) -> JobSpec {
    let mut spec = preview_cut(&format!("job-{number:06}"), rand::random_range(1..8), 1.0);
    spec.estimate_s = rand::random_range(1.0..15.0);
    spec.cpus = [2.0, 4.0, 8.0, 16.0][rand::random_range(0..4)];
    spec.memory_gb = spec.cpus;
    spec.image = format!("img-{}", rand::random_range(0..3));
    spec.image_gb = rand::random_range(0.2..1.5);
    if rand::random_bool(0.3) {
        spec.team = "composer-relations".into();
    }
    if rand::random_bool(0.3) {
        spec.priority = Priority::High;
    }
    if rand::random_bool(0.3) {
        spec.checkpoint_interval_s = 3.0;
        spec.checkpoint_write_s = 1.0;
    }
    spec.single_zone = rand::random_bool(0.15);
    if rand::random_bool(0.35) {
        spec.kind = JobKind::Gang;
        spec.tasks = rand::random_range(2..5);
        spec.cpus = [2.0, 8.0][rand::random_range(0..2)];
        spec.memory_gb = 4.0;
        spec.single_zone = rand::random_bool(0.5);
    }
    spec.spread = !spec.single_zone && rand::random_bool(0.15);
    spec
}

pub async fn run(world: Rc<World>, trouble: bool) -> Verdict {
    let jobs = Jobs::default();
    let minutes: f64 = std::env::var("EXPLORE_S").ok().and_then(|t| t.parse().ok()).unwrap_or(80.0);
    if world.wait_for_leader(None, 10.0).await.is_none() {
        return Verdict::CouldNotRun("no leader".into());
    }
    let end = world.now() + minutes;
    spawn_local(users(world.clone(), jobs.clone(), end));
    if trouble {
        for _ in 0..2 {
            spawn_local(troubles(world.clone(), end - 10.0));
        }
    }
    while world.now() < end + 25.0 {
        sleep(seconds(0.2)).await;
        world.check_cancelled();
    }
    let open: Vec<String> = jobs
        .borrow()
        .iter()
        .filter(|(_, known)| known.accepted && !known.last.is_some_and(JobState::is_final))
        .map(|(id, known)| {
            format!("{id} {:?} {:?} of {}", known.last, world.progress(id), known.tasks)
        })
        .collect();
    world.note(&format!("not final: {open:?}"));
    if world.violations.borrow().is_empty() { Verdict::Held } else { Verdict::Broken }
}

async fn users(world: Rc<World>, jobs: Jobs, end: f64) {
    let mut number = 0;
    while world.now() < end {
        sleep(seconds(rand::random_range(0.2..2.5))).await;
        number += 1;
        spawn_local(user(world.clone(), jobs.clone(), random_job(number)));
    }
}

async fn user(world: Rc<World>, jobs: Jobs, spec: JobSpec) {
    let tasks = spec.tasks as usize;
    jobs.borrow_mut().insert(spec.id.clone(), Known { tasks, ..Known::default() });
    if !world.submit(&spec).await {
        return;
    }
    if let Some(known) = jobs.borrow_mut().get_mut(&spec.id) {
        known.accepted = true;
    }
    let cancels_at =
        if rand::random_bool(0.3) { world.now() + rand::random_range(0.0..20.0) } else { f64::MAX };
    let path = format!("/api/jobs/{}", spec.id);
    loop {
        sleep(seconds(rand::random_range(0.05..1.5))).await;
        if world.now() >= cancels_at {
            jobs.borrow_mut().get_mut(&spec.id).expect("known").asked_to_cancel = true;
            if let Some(state) = world.cancel(&spec.id).await {
                look(&world, &jobs, &spec, 200, Some(state));
            }
            break;
        }
        let node = rand::random_bool(0.5).then(|| rand::random_range(0..world.site.nodes));
        let body = serde_json::to_vec(&spec).expect("serialises");
        let answer = if rand::random_bool(0.1) {
            world.ask(node, "POST", "/api/jobs", &body, 5.0).await
        } else {
            world.ask(node, "GET", &path, &[], 2.0).await
        };
        if let Some((_, status, state)) = answer {
            look(&world, &jobs, &spec, status, state);
            if state.is_some_and(JobState::is_final) {
                break;
            }
        }
    }
    for _ in 0..6 {
        sleep(seconds(rand::random_range(0.0..5.0))).await;
        let node = Some(rand::random_range(0..world.site.nodes));
        if let Some((_, status, state)) = world.ask(node, "GET", &path, &[], 2.0).await {
            look(&world, &jobs, &spec, status, state);
        }
    }
}

/// Checks an answer against what the user was told before.
fn look(world: &World, jobs: &Jobs, spec: &JobSpec, status: u16, state: Option<JobState>) {
    let mut jobs = jobs.borrow_mut();
    let known = jobs.get_mut(&spec.id).expect("known");
    if known.accepted && matches!(status, 400 | 404 | 422) {
        world.violation(format!("forgotten: {} gets {status}", spec.id));
    }
    let Some(state) = state else { return };
    if known.last.is_some_and(JobState::is_final) && known.last != Some(state) {
        world.violation(format!("went_back: {} was {:?}, is {state:?}", spec.id, known.last));
    }
    if state == JobState::Cancelled && !known.asked_to_cancel {
        world.violation(format!("went_back: {} cancelled by nobody", spec.id));
    }
    let has_result = spec.kind == JobKind::Gang && world.progress(&spec.id).1 > 0;
    if state == JobState::Done && !has_result && world.progress(&spec.id).1 < known.tasks {
        world.violation(format!(
            "not_done: {} is called done, {:?} of {} tasks",
            spec.id,
            world.progress(&spec.id),
            known.tasks
        ));
    }
    known.last = Some(state);
}

async fn troubles(world: Rc<World>, end: f64) {
    let nodes = world.site.nodes;
    while world.now() < end {
        sleep(seconds(rand::random_range(1.0..8.0))).await;
        let node = match world.leader.get() {
            Some((leader, _)) if rand::random_bool(0.7) => leader,
            _ => rand::random_range(0..nodes),
        };
        let machine = || {
            let workers = world.workers.borrow();
            let names: Vec<&String> = workers.keys().collect();
            (!names.is_empty()).then(|| names[rand::random_range(0..names.len())].clone())
        };
        match rand::random_range(0..16) {
            0 => {
                world.kill_node(node);
                sleep(seconds(if rand::random_bool(0.5) { 0.3 } else { 4.0 })).await;
                restart(&world, node);
            }
            1 => {
                for node in 0..nodes {
                    world.kill_node(node);
                }
                sleep(seconds(4.0)).await;
                for node in 0..nodes {
                    restart(&world, node);
                }
            }
            2 => {
                world.signal_node(node, "STOP");
                sleep(seconds(rand::random_range(1.0..25.0))).await;
                world.signal_node(node, "CONT");
            }
            3 => {
                world.note(&format!("berth-{node} is cut from state and peers"));
                world.cut_from_state[node].set(true);
                world.cut_from_peers[node].set(rand::random_bool(0.6));
                sleep(seconds(rand::random_range(1.0..30.0))).await;
                world.cut_from_state[node].set(false);
                world.cut_from_peers[node].set(false);
                world.note(&format!("berth-{node} is cut no more"));
            }
            4 => {
                world.refuse(node, true);
                sleep(seconds(rand::random_range(1.0..25.0))).await;
                world.refuse(node, false);
            }
            5 => {
                world.outage(true);
                sleep(seconds(rand::random_range(1.0..15.0))).await;
                world.outage(false);
            }
            6 => {
                world.late_writes.set(0.2);
                sleep(seconds(rand::random_range(3.0..20.0))).await;
                world.late_writes.set(0.0);
            }
            7 => {
                world.late_reports.set(0.4);
                sleep(seconds(rand::random_range(3.0..20.0))).await;
                world.late_reports.set(0.0);
            }
            8 => {
                if let Some(machine) = machine() {
                    world.hang(&machine, true);
                    sleep(seconds(rand::random_range(1.0..25.0))).await;
                    world.hang(&machine, false);
                }
            }
            11 => {
                world.late_commands.set(0.5);
                sleep(seconds(rand::random_range(3.0..20.0))).await;
                world.late_commands.set(0.0);
            }
            12 | 13 => {
                let deaf = rand::random_bool(0.5);
                if let Some(machine) = machine() {
                    world.cut_machine(&machine, deaf, !deaf);
                    sleep(seconds(rand::random_range(1.0..35.0))).await;
                    world.cut_machine(&machine, false, false);
                }
            }
            14 | 15 => {
                if let Some(machine) = machine() {
                    world.restart_machine(&machine);
                }
            }
            9 => {
                if let Some(machine) = machine() {
                    world.take_machine(&machine);
                }
            }
            _ => {
                world.slow_s.set(rand::random_range(0.05..0.8));
                sleep(seconds(rand::random_range(3.0..20.0))).await;
                world.slow_s.set(0.0);
            }
        }
    }
}

fn restart(world: &World, node: usize) {
    world.kill_node(node);
    world.start_node(node);
}
