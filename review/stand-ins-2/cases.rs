//! The cases.

use crate::record::Record;
use crate::world::{Job, World};
use std::sync::Arc;

const ALL: [usize; 3] = [0, 1, 2];
/// The longest cut of a zone in the days of the pages, of `kit/fleet`.
const CUT_S: f64 = 70.0;
/// The longest time for which the state service refuses one controller is 65 s.
const REFUSED_S: f64 = 30.0;
/// "The state may lag by up to 3 s."
const STATE_LAG_S: f64 = 3.0;
/// An accepted order has to reach the leader.
const DRAIN_GRACE_S: f64 = 5.0;

pub fn play(case: &str, record: Record, run: Vec<String>, trouble: bool) -> i32 {
    let script: fn(&Arc<World>, bool) -> bool = match case {
        "zone-cut" => zone_cut,
        "drain" => drain,
        "small-tasks" => small_tasks,
        "wrong-state" => wrong_state,
        _ => return 2,
    };
    let world = World::new(record, run);
    let played = script(&world, trouble);
    let ended = ALL.into_iter().filter(|i| world.has_ended(*i)).count();
    world.record.line(&format!(
        "played to the end: {played}; controllers that ended by themselves: {ended}"
    ));
    let could_run = played && ended == 0;
    world.end();
    let violations = world.record.violations();
    for violation in &violations {
        println!("broken: {violation}");
    }
    let code = if !violations.is_empty() {
        1
    } else if could_run {
        0
    } else {
        2
    };
    world.record.line(&format!("exit code {code}"));
    code
}

fn start_all(world: &Arc<World>, first: usize) -> bool {
    world.start(first);
    if !world.wait_for("the first controller leads", 20.0, || world.leader().is_some()) {
        return false;
    }
    for i in ALL.into_iter().filter(|i| *i != first) {
        world.start(i);
    }
    world.wait_for("a controller knows the machine types", 20.0, || {
        world.state.value("gk/types").is_some()
    })
}

fn job(cpus: f64, ram_gb: f64, run_s: f64) -> Job {
    Job { cpus, ram_gb, image: "img-01".into(), image_gb: 0.8, run_s }
}

/// The zone of the leader is cut off from everything for 70 s.
fn zone_cut(world: &Arc<World>, trouble: bool) -> bool {
    if !start_all(world, 1) || world.leader().map(|(node, _)| node) != Some(1) {
        return false;
    }
    let ok = world.submit(
        &ALL,
        "job-000001",
        "lathe-crew",
        6,
        Some("shore-shed"),
        false,
        job(16.0, 35.0, 150.0),
    ) && world.submit(
        &ALL,
        "job-000002",
        "drawing-office",
        2,
        Some("upper-loft"),
        false,
        job(16.0, 35.0, 150.0),
    );
    let run = || world.running("job-000001") == 6 && world.running("job-000002") == 2;
    if !ok || !world.wait_for("all tasks run", 40.0, run) {
        return false;
    }
    let start = world.record.now() + 1.0;
    world.sleep_until(start);
    if trouble {
        world.record.line("cut: upper-loft is cut off from everything");
        world.cut.set(true);
    }
    world.sleep_until(start + CUT_S);
    world.record.line(&format!("leader in the state service: {:?}", world.leader()));
    if trouble {
        world.cut.set(false);
        world.record.line("cut: over");
    }
    world.sleep_until(start + CUT_S + 8.0);
    true
}

/// The leader crashes; then an operator orders an idle machine to drain.
fn drain(world: &Arc<World>, trouble: bool) -> bool {
    if !start_all(world, 0) {
        return false;
    }
    let ok = world.submit(
        &ALL,
        "job-000001",
        "lathe-crew",
        4,
        Some("shore-shed"),
        false,
        job(16.0, 35.0, 4.0),
    );
    if !ok
        || !world.wait_for("the first job is complete", 30.0, || world.results("job-000001") == 4)
    {
        return false;
    }
    if !world.wait_for("the user sees that it is done", 10.0, || {
        world.poll(&ALL, "job-000001").as_deref() == Some("done")
    }) {
        return false;
    }
    let Some(machine) = world.workers.lock().unwrap().keys().next().cloned() else { return false };
    if trouble {
        world.kill(0);
    }
    let path = format!("/admin/machines/{machine}/drain");
    let answer = world.persist(&[1, 2], "POST", &path, "");
    if answer.map(|(_, status, _)| status) != Some(200) {
        return false;
    }
    let accepted_at = world.record.now();
    let led = || world.leader().is_some_and(|(node, _)| !trouble || node != 0);
    if !world.wait_for("a controller leads", 20.0, led) {
        return false;
    }
    world.sleep_until(accepted_at + 6.0);
    if trouble {
        world.start(0);
    }
    let ok = world.submit(
        &[1, 2],
        "job-000002",
        "lathe-crew",
        8,
        Some("shore-shed"),
        false,
        job(16.0, 35.0, 15.0),
    );
    if !ok
        || !world.wait_for("the second job is complete", 70.0, || world.results("job-000002") == 8)
    {
        return false;
    }
    for (at, piece) in world.starts_on(&machine) {
        if at > accepted_at + DRAIN_GRACE_S {
            world.record.violation(&format!(
                "accepted order lost: {machine} was ordered to drain at {accepted_at:.3}, and {piece} started there at {at:.3}"
            ));
        }
    }
    true
}

/// A job of many small tasks.
fn small_tasks(world: &Arc<World>, trouble: bool) -> bool {
    if !start_all(world, 0) {
        return false;
    }
    let ok = world.submit(&ALL, "job-000001", "lathe-crew", 1, None, false, job(8.0, 35.0, 100.0));
    if !ok || !world.wait_for("the first job runs", 30.0, || world.running("job-000001") == 1) {
        return false;
    }
    let (pieces, small) =
        if trouble { (2000, job(0.01, 0.02, 35.0)) } else { (43, job(0.5, 1.0, 35.0)) };
    if !world.submit(&ALL, "job-000002", "lathe-crew", pieces, None, false, small) {
        return false;
    }
    world.wait_for("the second job is complete", 75.0, || {
        world.results("job-000002") == pieces as usize
    });
    true
}

/// The state service refuses one controller that does not lead, while a job starts.
fn wrong_state(world: &Arc<World>, trouble: bool) -> bool {
    if !start_all(world, 0) {
        return false;
    }
    world.sleep_until(4.0);
    let refused_at = world.record.now();
    if trouble {
        *world.refused.lock().unwrap() = Some(2);
        world.record.line("state service: refuses berth-2 alone");
    }
    world.sleep_until(refused_at + 2.0);
    let id = "job-000001";
    let ok = world.submit(&[0, 1], id, "lathe-crew", 4, None, false, job(16.0, 35.0, 90.0));
    if !ok || !world.wait_for("all tasks run", 30.0, || world.running(id) == 4) {
        return false;
    }
    world.sleep_until(refused_at + REFUSED_S);
    *world.refused.lock().unwrap() = None;
    world.record.line("state service: refuses nobody");
    let end = world.record.now();
    let mut wrong = 0;
    while world.record.now() < end + 40.0 {
        for node in ALL {
            let all_ran = world.running(id) == 4;
            let asked_at = world.record.now();
            let state = world.poll(&[node], id);
            let is_wrong = state.as_deref() == Some("queued") && all_ran && world.running(id) == 4;
            if is_wrong && asked_at > end + STATE_LAG_S {
                wrong += 1;
                if wrong == 1 || asked_at > end + 38.0 {
                    world.record.violation(&format!(
                        "wrong state: berth-{node} calls {id} queued {:.1} s after it was served again, while 4 tasks run",
                        asked_at - end
                    ));
                }
            }
        }
        std::thread::sleep(std::time::Duration::from_millis(500));
    }
    world.record.line(&format!("wrong answers: {wrong}"));
    true
}
