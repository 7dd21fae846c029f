//! Scenario files: a small text form for a world, what happens in it and what
//! must come of it.
//!
//! ```text
//! # Comment.
//! world zones=a,b ordinary=4 spot=2 boot=20 lag=4 late_copies=0.01
//! at 5 submit job-1 tasks=8 cpus=8 run=20
//! at 30 crash leader for 5
//! until 200
//! expect job-1 done
//! ```
//!
//! A world with `seeds=1..4` is played once with each seed. Troubles of several parts are
//! several lines: a node that loses the state service and the other nodes is cut twice.
//!
//! Every scenario also expects that no rule breaks, unless it says `expect
//! broken RULE`.

use crate::{
    cloud::Cloud,
    sim::{Cut, From, Sim},
    state::{Limits, State},
    worker::{Task, Worker},
};
use gladekeel_wire::{
    JobId,
    cloud::MachineType,
    job::{JobSpec, JobState, Kind, Priority},
    settings::Settings,
    worker::TaskState,
};
use std::collections::BTreeMap;

/// Why a scenario did not pass.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A line that cannot be read.
    #[error("line {0}: {1}")]
    Line(usize, String),
    /// Expectations that were not met.
    #[error("{}", .0.join("\n"))]
    Unmet(Vec<String>),
}

/// The settings of one node of the examples.
pub fn example_settings(node: usize, nodes: usize) -> Settings {
    settings_with(node, nodes, (30.0, 4.0), "").expect("the example settings are valid")
}

/// The example with these times of gangs, `gang_wait_s` and `gang_peer_s`, and these
/// lines in its table `state.next`.
pub fn settings_with(
    node: usize,
    nodes: usize,
    (gang_wait_s, gang_peer_s): (f64, f64),
    next: &str,
) -> Result<Settings, String> {
    let mut text = format!(
        r#"
        node = "node-{node}"
        site = "{zone}"
        bind = "127.0.0.1:80"
        mesh_addr = "127.0.0.1:81"
        unknown = "ignored"
        [services]
        cloud = "127.0.0.1:82"
        state = "127.0.0.1:83"
        [deployment]
        count = {nodes}
        zones = ["a", "b"]
        [[deployment.teams]]
        name = "red"
        cpus = 64.0
        cpus_max = 200.0
        [[deployment.teams]]
        name = "blue"
        cpus = 64.0
        cpus_max = 128.0
        [deployment.workers]
        report_s = 3.0
        lease_s = 30.0
        cancel_s = 50.0
        gang_wait_s = {gang_wait_s:?}
        gang_peer_s = {gang_peer_s:?}
        [deployment.state]
        rps = 90.0
        write_rps = 25.0
        value_kb = 4.0
        txn_ops = 8
        [deployment.cloud]
        rps = 6.0
        list_lag_s = 4.0
        [deployment.limits]
        cpu_share = 0.2
        ram_mb = 200.0
        max_connections = 3000
        "#,
        zone = ["a", "b"][node % 2],
    );
    for other in (0..nodes).filter(|other| *other != node) {
        let zone = ["a", "b"][other % 2];
        text.push_str(&format!(
            "[[siblings]]\nnode = \"node-{other}\"\nsite = \"{zone}\"\npeer_addr = \"127.0.0.1:81\"\n"
        ));
    }
    if !next.is_empty() {
        text.push_str(&format!("[deployment.state.next]\n{next}"));
    }
    toml::from_str(&text).map_err(|error| error.to_string())
}

/// A job like the ones of the examples.
pub fn example_job(id: &str) -> JobSpec {
    JobSpec {
        id: id.parse().expect("the example's id is valid"),
        class: "batch".into(),
        team: "red".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// A machine type like the ones of the examples.
pub fn example_type(zones: Vec<String>) -> MachineType {
    MachineType {
        name: "m32".into(),
        cpus: 32.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: 2.0,
        spot_price: Some(0.7),
        boot_s: 20.0,
        zones,
    }
}

type Words<'a> = BTreeMap<&'a str, &'a str>;

/// Splits `key=value` words from plain ones.
fn split(text: &str) -> (Vec<&str>, Words<'_>) {
    let mut plain = Vec::new();
    let mut pairs = BTreeMap::new();
    for word in text.split_whitespace() {
        match word.split_once('=') {
            Some((key, value)) => {
                pairs.insert(key, value);
            }
            None => plain.push(word),
        }
    }
    (plain, pairs)
}

fn number(text: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("not a number: {text}"))
}

fn id(text: &str) -> Result<JobId, String> {
    text.parse().map_err(|error| format!("{error}"))
}

/// Builds a world from its line.
fn world(words: &Words<'_>) -> Result<Sim, String> {
    let get = |key: &str, default: f64| words.get(key).map_or(Ok(default), |text| number(text));
    let nodes = get("nodes", 3.0)? as usize;
    let gang = (get("gang_wait", 30.0)?, get("gang_peer", 4.0)?);
    // `next=value_kb:2,txn_ops:4` is the table `state.next`.
    let next: String = words
        .get("next")
        .map_or(Vec::new(), |text| text.split(',').collect())
        .iter()
        .map(|pair| pair.replace(':', " = ") + "\n")
        .collect();
    let mut settings: Vec<Settings> =
        (0..nodes).map(|node| settings_with(node, nodes, gang, &next)).collect::<Result<_, _>>()?;
    for settings in &mut settings {
        let params = &mut settings.params;
        params.workers.report_s = get("report", params.workers.report_s)?;
        params.state.value_kb = get("value_kb", params.state.value_kb)?;
        params.state.write_rps = get("write_rps", params.state.write_rps)?;
        params.state.txn_ops = get("txn_ops", params.state.txn_ops as f64)? as usize;
        for team in &mut params.teams {
            team.cpus *= get("teams", 1.0)?;
            team.cpus_max *= get("teams", 1.0)?;
        }
    }
    let params = settings[0].params.clone();
    let mut capacity = BTreeMap::new();
    let zones: Vec<String> =
        words.get("zones").unwrap_or(&"a,b").split(',').map(str::to_owned).collect();
    for zone in &zones {
        capacity.insert((zone.clone(), false), get("ordinary", 4.0)? as u32);
        capacity.insert((zone.clone(), true), get("spot", 0.0)? as u32);
    }
    let types = vec![MachineType { boot_s: get("boot", 20.0)?, ..example_type(zones) }];
    let state = State::new(Limits {
        rps: params.state.rps,
        write_rps: params.state.write_rps,
        txn_ops: params.state.txn_ops,
        value: (params.state.value_kb * 1024.0) as usize,
    });
    let cloud = Cloud::new(types, capacity, get("lag", 4.0)?);
    let mut sim = Sim::new(settings, state, cloud, get("seed", 1.0)? as u64);
    sim.late_copies = get("late_copies", 0.0)?;
    sim.late_reports = get("late_reports", 0.0)?;
    sim.step_s = get("step", sim.step_s)?;
    sim.start_twice = words.contains_key("start_twice");
    (sim.gang_wait_s, sim.gangs.peer_s) = gang;
    sim.gangs.alone = words.contains_key("gang_alone");
    Ok(sim)
}

fn job(name: &str, words: &Words<'_>) -> Result<JobSpec, String> {
    id(name)?;
    let mut spec = example_job(name);
    for (key, value) in words {
        match *key {
            "tasks" => spec.tasks = number(value)? as u32,
            "cpus" => spec.cpus = number(value)?,
            "memory" => spec.memory_gb = number(value)?,
            "run" => spec.estimate_s = number(value)?,
            "image_gb" => spec.image_gb = number(value)?,
            "image" => spec.image = (*value).into(),
            "team" => spec.team = (*value).into(),
            "class" => spec.class = (*value).into(),
            "saves" => (spec.checkpoint_s, spec.save_s) = (number(value)?, 2.0),
            "zone" => spec.zone = Some((*value).into()),
            "type" => spec.types = Some(vec![(*value).into()]),
            "one_zone" => spec.one_zone = *value == "yes",
            "scatter" => spec.spread = *value == "yes",
            "kind" => {
                spec.kind = match *value {
                    "gang" => Kind::Gang,
                    "service" => Kind::Service,
                    other => return Err(format!("no kind {other}")),
                }
            }
            // Not the job's: each task runs so much longer than the one before it; jobs come
            // so far from one another; that part of them is cancelled.
            "apart" | "every" | "cancelled" => {}
            "spot" => spec.spot = *value == "yes",
            "priority" => {
                spec.priority = match *value {
                    "low" => Priority::Low,
                    "normal" => Priority::Normal,
                    "high" => Priority::High,
                    "production" => Priority::Production,
                    other => return Err(format!("no priority {other}")),
                }
            }
            other => return Err(format!("a job has no {other}")),
        }
    }
    Ok(spec)
}

/// Names like `job-1..3`, spelled out.
fn names(text: &str) -> Vec<String> {
    let range = text.split_once("..").and_then(|(first, last)| {
        let (stem, from) = first.rsplit_once('-')?;
        Some((stem, from.parse::<u32>().ok()?, last.parse::<u32>().ok()?))
    });
    match range {
        Some((stem, from, to)) => (from..=to).map(|n| format!("{stem}-{n}")).collect(),
        None => vec![text.to_owned()],
    }
}

type Step = Box<dyn FnOnce(&mut Sim)>;

/// Reads what happens at a time.
fn step(text: &str) -> Result<Step, String> {
    let (plain, words) = split(text);
    let at = |index: usize| plain.get(index).copied().ok_or("a word is missing");
    let for_s = match plain.iter().position(|word| *word == "for") {
        Some(index) => number(at(index + 1)?)?,
        None => 0.0,
    };
    let hold = plain.last() == Some(&"hold");
    Ok(match at(0)? {
        "submit" => {
            let specs: Vec<JobSpec> =
                names(at(1)?).iter().map(|name| job(name, &words)).collect::<Result<_, _>>()?;
            let given = |key: &str| words.get(key).map_or(Ok(0.0), |text| number(text));
            let (apart_s, every_s, cancelled) =
                (given("apart")?, given("every")?, given("cancelled")?);
            Box::new(move |sim| {
                for (place, spec) in specs.into_iter().enumerate() {
                    sim.rules.apart_s.insert(spec.id.clone(), apart_s);
                    let after_s = place as f64 * every_s;
                    if every_s > 0.0 {
                        sim.submit_in_stream(spec, after_s, cancelled);
                    } else {
                        sim.submit(spec);
                    }
                }
            })
        }
        "poll" => {
            let ids: Vec<JobId> = names(at(1)?).iter().map(|n| id(n)).collect::<Result<_, _>>()?;
            let times = words.get("times").map_or(Ok(1.0), |text| number(text))? as u32;
            Box::new(move |sim| {
                for id in ids {
                    (0..times).for_each(|_| sim.poll_once(id.clone()));
                }
            })
        }
        "cancel" => {
            let ids: Vec<JobId> = names(at(1)?).iter().map(|n| id(n)).collect::<Result<_, _>>()?;
            let through = words.get("through").map(|who| (*who).to_owned());
            Box::new(move |sim| {
                let nodes = through.map_or(Vec::new(), |who| which(sim, &who));
                ids.into_iter().for_each(|id| sim.cancel_through(id, nodes.clone()));
            })
        }
        // `cancel_now COUNT hang=S through=WHO`: the longest running jobs, all at once.
        "cancel_now" => {
            let count = number(at(1)?)? as usize;
            let hang_s = words.get("hang").map_or(Ok(0.0), |text| number(text))?;
            let through = words.get("through").map(|who| (*who).to_owned());
            Box::new(move |sim| {
                let nodes = through.map_or(Vec::new(), |who| which(sim, &who));
                sim.cancel_now(count, nodes, hang_s);
            })
        }
        "cancel_at_end" => {
            let share = number(at(1)?)?;
            Box::new(move |sim| {
                sim.cancel_at_end = share;
                sim.after(for_s, |sim| sim.cancel_at_end = 0.0);
            })
        }
        "late_writes" => {
            let share = number(at(1)?)?;
            Box::new(move |sim| {
                sim.late_writes = share;
                // The last one is carried out 12 s after it was sent.
                sim.trouble(for_s + 12.0);
                sim.after(for_s, |sim| sim.late_writes = 0.0);
            })
        }
        // A share of transactions is made at once, and only the answer is lost.
        "lost_answers" => {
            let share = number(at(1)?)?;
            Box::new(move |sim| {
                sim.message_faults.lost_answers = share;
                sim.trouble(for_s);
                sim.after(for_s, |sim| sim.message_faults.lost_answers = 0.0);
            })
        }
        // A share of direct commands gets no answer and is carried out much later.
        "late_commands" => {
            let share = number(at(1)?)?;
            Box::new(move |sim| {
                sim.message_faults.late_commands = share;
                // The last one is carried out 16 s after it was sent.
                sim.trouble(for_s + 16.0);
                sim.after(for_s, |sim| sim.message_faults.late_commands = 0.0);
            })
        }
        // Copies of a share of reports reach every node when the next leader begins.
        "reports_for_next_leader" => {
            let share = number(at(1)?)?;
            Box::new(move |sim| {
                sim.message_faults.reports_for_next_leader = share;
                sim.after(for_s, |sim| sim.message_faults.reports_for_next_leader = 0.0);
            })
        }
        // Users ask at all nodes at once when a job is accepted, over or cancelled.
        "close_looks" => Box::new(move |sim| sim.close_looks.until = sim.now + for_s),
        "links" => {
            let factor = number(at(2)?)?;
            Box::new(move |sim| {
                sim.links_slow = factor;
                sim.trouble(for_s);
                sim.after(for_s, |sim| sim.links_slow = 1.0);
            })
        }
        "again" => {
            let ids: Vec<JobId> = names(at(1)?).iter().map(|n| id(n)).collect::<Result<_, _>>()?;
            Box::new(move |sim| ids.into_iter().for_each(|id| sim.submit_again(id)))
        }
        "odd" => Box::new(move |sim| {
            let until = sim.now + for_s;
            sim.send_odd_requests(until);
        }),
        "http" => {
            let (request, status) =
                text.rsplit_once(" = ").ok_or("http METHOD PATH BODY = STATUS")?;
            let mut parts = request.splitn(4, ' ').skip(1);
            let method = match parts.next() {
                Some("GET") => "GET",
                Some("PUT") => "PUT",
                Some("POST") => "POST",
                other => return Err(format!("no method {other:?}")),
            };
            let path = parts.next().ok_or("a path is missing")?.to_owned();
            let body = parts.next().unwrap_or("").to_owned();
            let status = number(status)? as u16;
            Box::new(move |sim| {
                let node = sim.leading().unwrap_or(0);
                sim.expect_http(node, method, path, body.into_bytes(), status);
            })
        }
        // Asks a certain node: `ask N METHOD PATH = STATUS`.
        "ask" => {
            let (node, path) = (at(1)?.to_owned(), at(3)?.to_owned());
            let method = if at(2)? == "POST" { "POST" } else { "GET" };
            let status = number(plain.last().copied().unwrap_or_default())? as u16;
            Box::new(move |sim| {
                for node in which(sim, &node) {
                    sim.expect_http(node, method, path.clone(), Vec::new(), status);
                }
            })
        }
        "junk" => Box::new(move |sim| (0..sim.nodes()).for_each(|node| sim.send_junk(node))),
        // Between two transactions: `crash leader commits=2 for 3`.
        "crash" if words.contains_key("commits") => {
            let left = number(words["commits"])? as u32;
            Box::new(move |sim| sim.crash_after_commits = Some((left, for_s)))
        }
        "crash" => {
            let who = at(1)?.to_owned();
            Box::new(move |sim| {
                for node in which(sim, &who) {
                    sim.restart(node, for_s);
                }
            })
        }
        "freeze" => {
            let who = at(1)?.to_owned();
            Box::new(move |sim| {
                for node in which(sim, &who) {
                    sim.freeze(node, for_s);
                }
            })
        }
        "cut" if at(1)? == "zone" => {
            let cut = Cut::Zones(at(2)?.into(), at(4)?.into());
            Box::new(move |sim| sim.cut(cut, for_s, hold))
        }
        "cut" => {
            let who = at(1)?.to_owned();
            let from = match at(3)? {
                "all" => From::All,
                "workers" => From::Workers,
                "state" => From::State,
                "cloud" => From::Cloud,
                "mesh" => From::Mesh,
                "users" => From::Users,
                other => return Err(format!("cannot cut from {other}")),
            };
            Box::new(move |sim| {
                for node in which(sim, &who) {
                    sim.cut(Cut::Node(node, from), for_s, hold);
                }
            })
        }
        "state" => match at(1)? {
            "down" => Box::new(move |sim| {
                let now = sim.now;
                sim.state.set_down(now, true);
                sim.trouble(for_s);
                sim.after(for_s, |sim| {
                    let now = sim.now;
                    sim.state.set_down(now, false);
                });
            }),
            "slow" => {
                let factor = number(at(2)?)?;
                Box::new(move |sim| {
                    sim.state_slow = factor;
                    sim.trouble(for_s);
                    sim.after(for_s, |sim| sim.state_slow = 1.0);
                })
            }
            "mute" => Box::new(move |sim| {
                sim.state_mute = true;
                sim.trouble(for_s);
                sim.after(for_s, |sim| sim.state_mute = false);
            }),
            "refuses" => {
                let who = at(2)?.to_owned();
                Box::new(move |sim| {
                    sim.state.refused = which(sim, &who);
                    sim.trouble(for_s);
                    sim.after(for_s, |sim| sim.state.refused.clear());
                })
            }
            "spoils" => Box::new(move |sim| {
                sim.state.spoil_log(true);
                sim.trouble(for_s);
                sim.after(for_s, |sim| sim.state.spoil_log(false));
            }),
            "forgets" => Box::new(|sim| sim.state.forget_history()),
            "limits" => {
                let given = |key: &str| words.get(key).map(|text| number(text)).transpose();
                let (value, ops) = (given("value_kb")?, given("txn_ops")?);
                let (writes, rps) = (given("write_rps")?, given("rps")?);
                Box::new(move |sim| {
                    let now = sim.state.limits();
                    sim.state.lower(Limits {
                        rps: rps.unwrap_or(now.rps),
                        write_rps: writes.unwrap_or(now.write_rps),
                        txn_ops: ops.map_or(now.txn_ops, |n| n as usize),
                        value: value.map_or(now.value, |kb| (kb * 1024.0) as usize),
                    });
                })
            }
            other => return Err(format!("the state service cannot {other}")),
        },
        "cloud" => match at(1)? {
            "down" => Box::new(move |sim| {
                sim.cloud.down = true;
                sim.after(for_s, |sim| sim.cloud.down = false);
            }),
            "duds" => {
                let count = number(at(2)?)? as u32;
                Box::new(move |sim| sim.cloud.duds = count)
            }
            "empty" => Box::new(|sim| sim.cloud.capacity.values_mut().for_each(|n| *n = 0)),
            other => return Err(format!("the cloud cannot {other}")),
        },
        // Whoever holds a gang goes the moment it has completed, but for one machine:
        // before any of these can report it.
        "take" if plain.get(1) == Some(&"done") => {
            let job = at(2)?.to_owned();
            Box::new(move |sim| take_once_done(sim, job))
        }
        // The zone of a job's tasks goes with all its machines, or they all hang.
        what @ ("take" | "hang") if plain.get(1) == Some(&"zone") => {
            let (job, takes) = (at(2)?.to_owned(), what == "take");
            Box::new(move |sim| {
                let zone = holder(sim, &job).map(|name| sim.workers[&name].zone.clone());
                let Some(zone) = zone else {
                    return sim.rules.broke("nobody", format!("no machine holds {job}"));
                };
                let there = sim.workers.values().filter(|worker| worker.zone == zone);
                let names: Vec<String> = there.map(|worker| worker.name.clone()).collect();
                sim.trouble(for_s);
                for name in names {
                    if takes {
                        sim.take_machine(name, 0.0);
                        continue;
                    }
                    let hang = move |on: bool| {
                        let name = name.clone();
                        move |sim: &mut Sim| {
                            if let Some(worker) = sim.workers.get_mut(&name) {
                                worker.hung = on;
                            }
                        }
                    };
                    hang(true)(sim);
                    sim.after(for_s, hang(false));
                }
                // What was taken must not count as free room again.
                sim.after(0.01, move |sim| {
                    let gone = sim.cloud.capacity.iter_mut().filter(|(key, _)| key.0 == zone);
                    gone.for_each(|(_, count)| *count = 0);
                });
            })
        }
        // One machine that holds a task of a job: `take holder job-1 notice=3`.
        what @ ("take" | "drain" | "hang" | "reboot") if plain.get(1) == Some(&"holder") => {
            let (job, what) = (at(2)?.to_owned(), what.to_owned());
            let notice = words.get("notice").map_or(Ok(0.0), |text| number(text))?;
            Box::new(move |sim| {
                let Some(name) = holder(sim, &job) else {
                    return sim.rules.broke("nobody", format!("no machine holds {job}"));
                };
                match what.as_str() {
                    "take" => sim.take_machine(name, notice),
                    "drain" => {
                        let node = sim.leading().unwrap_or(0);
                        let path = format!("/admin/machines/{name}/drain");
                        sim.expect_http(node, "POST", path, Vec::new(), 200);
                    }
                    "reboot" => sim.reboot(&name),
                    _ => {
                        sim.trouble(for_s);
                        if let Some(worker) = sim.workers.get_mut(&name) {
                            worker.hung = true;
                        }
                        sim.after(for_s, move |sim| {
                            if let Some(worker) = sim.workers.get_mut(&name) {
                                worker.hung = false;
                            }
                        });
                    }
                }
            })
        }
        "take" => {
            let count = number(at(1)?)? as usize;
            let notice = words.get("notice").map_or(Ok(0.0), |text| number(text))?;
            Box::new(move |sim| {
                for name in some_workers(sim, count) {
                    sim.take_machine(name, notice);
                }
            })
        }
        "reboot" => {
            let count = number(at(1)?)? as usize;
            Box::new(move |sim| {
                for name in some_workers(sim, count) {
                    sim.reboot(&name);
                }
            })
        }
        what @ ("hang" | "sick" | "slow" | "deaf" | "mute") => {
            // So many machines, those that hold tasks of jobs, or those of `zone:NAME`.
            let (who, what) = (at(1)?.to_owned(), what.to_owned());
            let zone = who.strip_prefix("zone:").map(str::to_owned);
            let jobs = if who.starts_with("job-") { names(&who) } else { Vec::new() };
            let named = zone.is_some() || !jobs.is_empty();
            let count = if named { 0 } else { number(&who)? as usize };
            Box::new(move |sim| {
                let holds = |w: &Worker| {
                    zone.as_ref().is_some_and(|zone| *zone == w.zone)
                        || w.tasks.iter().any(|t| jobs.iter().any(|job| job == t.task.job.as_str()))
                };
                let mut names = some_workers(sim, count);
                names.extend(sim.workers.values().filter(|w| holds(w)).map(|w| w.name.clone()));
                if what == "hang" {
                    return sim.hang(names, for_s);
                }
                let set = move |sim: &mut Sim, on: bool| {
                    for name in &names {
                        let Some(worker) = sim.workers.get_mut(name) else { continue };
                        match what.as_str() {
                            "deaf" => worker.deaf = on,
                            "mute" => worker.mute = on,
                            "sick" => worker.sick = on,
                            _ => worker.slow = if on { 20.0 } else { 1.0 },
                        }
                    }
                };
                set(sim, true);
                sim.trouble(for_s);
                sim.after(for_s, move |sim| set(sim, false));
            })
        }
        other => return Err(format!("nothing is called {other}")),
    })
}

/// Workers that hold tasks first, in the order of their names.
fn some_workers(sim: &Sim, count: usize) -> Vec<String> {
    let mut names: Vec<(bool, String)> =
        sim.workers.iter().map(|(name, w)| (w.tasks.is_empty(), name.clone())).collect();
    names.sort();
    names.into_iter().take(count).map(|(_, name)| name).collect()
}

/// Takes all machines of a gang but one as soon as it has completed.
fn take_once_done(sim: &mut Sim, job: String) {
    let done = id(&job).is_ok_and(|id| sim.gangs.record(&id).done);
    if !done {
        return sim.after(0.01, move |sim| take_once_done(sim, job));
    }
    let holds = |w: &&Worker| w.tasks.iter().any(|t| t.task.job.as_str() == job);
    let names: Vec<String> =
        sim.workers.values().filter(holds).map(|worker| worker.name.clone()).collect();
    for name in names.into_iter().skip(1) {
        sim.take_machine(name, 0.0);
    }
}

/// A machine with a task of a job that has not ended, one that waits if there is any.
fn holder(sim: &Sim, job: &str) -> Option<String> {
    let holds = |worker: &&Worker| {
        let there = |t: &Task| t.task.job.as_str() == job && t.state != TaskState::Exited;
        worker.tasks.iter().any(there)
    };
    let waits = |worker: &&Worker| {
        let waits = |t: &Task| t.task.job.as_str() == job && t.state == TaskState::Waiting;
        worker.tasks.iter().any(waits)
    };
    let found = sim.workers.values().rfind(waits).or_else(|| sim.workers.values().rfind(holds));
    found.map(|worker| worker.name.clone())
}

fn which(sim: &Sim, who: &str) -> Vec<usize> {
    match who {
        "leader" => sim.leading().into_iter().collect(),
        "all" => (0..sim.nodes()).collect(),
        "others" => (0..sim.nodes()).filter(|node| Some(*node) != sim.leading()).collect(),
        number => number.parse().into_iter().filter(|node| *node < sim.nodes()).collect(),
    }
}

/// Compares a number with `>= N`, `<= N` or `= N`.
fn compare(what: &str, value: f64, words: &[&str]) -> Result<Option<String>, String> {
    let [op, bound] = words else { return Err("expected an operator and a number".into()) };
    let bound = number(bound)?;
    let holds = match *op {
        ">=" => value >= bound,
        "<=" => value <= bound,
        "=" => value == bound,
        other => return Err(format!("no operator {other}")),
    };
    Ok((!holds).then(|| format!("{what} is {value}, expected {op} {bound}")))
}

/// Checks one expectation; returns what is wrong.
fn expect(sim: &Sim, text: &str) -> Result<Option<String>, String> {
    let (words, _) = split_plain(text);
    let wrong = |name: &str, state: JobState| -> Result<Option<String>, String> {
        for name in names(name) {
            let last = sim.rules.last(&id(&name)?);
            if last != Some(state) {
                return Ok(Some(format!("{name} is {last:?}, expected {state:?}")));
            }
        }
        Ok(None)
    };
    match words.as_slice() {
        ["broken", rule] => Ok((!sim.rules.broken.iter().any(|(broken, _)| broken == rule))
            .then(|| format!("{rule} is not broken"))),
        ["starts", rest @ ..] => compare("starts", sim.rules.starts as f64, rest),
        ["starts_without_room", rest @ ..] => {
            compare("starts_without_room", sim.rules.starts_without_room as f64, rest)
        }
        ["cpus", team, rest @ ..] => compare("cpus", sim.rules.cpus_of(team), rest),
        // How often a message met its fault.
        ["answers_lost", rest @ ..] => {
            compare("answers_lost", sim.message_faults.answers_lost as f64, rest)
        }
        ["commands_late", rest @ ..] => {
            compare("commands_late", sim.message_faults.commands_late as f64, rest)
        }
        ["commands_refused", rest @ ..] => {
            compare("commands_refused", sim.message_faults.commands_refused as f64, rest)
        }
        ["reports_released", rest @ ..] => {
            compare("reports_released", sim.message_faults.reports_released as f64, rest)
        }
        ["close_looks", rest @ ..] => compare("close_looks", sim.close_looks.taken as f64, rest),
        // Jobs that a user was told are cancelled, and their tasks that are still there.
        ["confirmed", rest @ ..] => compare("confirmed", sim.rules.confirmed() as f64, rest),
        ["cancelled_running", rest @ ..] => {
            compare("cancelled_running", sim.rules.cancelled_running() as f64, rest)
        }
        ["leaders", rest @ ..] => compare("leaders", sim.leaders.len() as f64, rest),
        ["machines", rest @ ..] => compare("machines", sim.cloud.present().len() as f64, rest),
        ["rented", rest @ ..] => compare("rented", sim.cloud.machines.len() as f64, rest),
        // Work that must not grow faster than what changes.
        ["written", rest @ ..] => compare("written", sim.state.written as f64, rest),
        ["bytes", rest @ ..] => compare("bytes", sim.state.bytes as f64, rest),
        ["looked", rest @ ..] => {
            compare("looked", sim.leader_counts().map_or(0, |c| c.looked) as f64, rest)
        }
        ["attempt_lookups", rest @ ..] => {
            let lookups = sim.leader_counts().map_or(0, |c| c.attempt_lookups);
            compare("attempt_lookups", lookups as f64, rest)
        }
        ["segments", rest @ ..] => compare("segments", sim.log_segments() as f64, rest),
        [name, "began", rest @ ..] => {
            compare("began", sim.rules.began(&id(name)?).unwrap_or(f64::MAX), rest)
        }
        ["given_up", rest @ ..] => compare("given_up", sim.given_up as f64, rest),
        // The oldest open job, as the leader counts its age.
        ["age", rest @ ..] => compare("age", sim.oldest_job_s().unwrap_or(0.0), rest),
        ["restarts", rest @ ..] => {
            compare("restarts", sim.leader_counts().map_or(0, |c| c.restarts) as f64, rest)
        }
        ["preemptions", rest @ ..] => {
            compare("preemptions", sim.leader_counts().map_or(0, |c| c.preemptions) as f64, rest)
        }
        // What became of a gang: how often it ran, how often a stop kept its progress,
        // and how many seconds of progress were lost.
        [name, "runs", rest @ ..] => {
            compare("runs", f64::from(sim.gangs.record(&id(name)?).runs), rest)
        }
        [name, "saves", rest @ ..] => {
            compare("saves", f64::from(sim.gangs.record(&id(name)?).saves), rest)
        }
        [name, "lost", rest @ ..] => compare("lost", sim.gangs.record(&id(name)?).lost_s, rest),
        [name, "attempts", rest @ ..] => {
            compare("attempts", sim.gangs.record(&id(name)?).attempts.len() as f64, rest)
        }
        [name, "on", rest @ ..] => compare("on", sim.rules.on_machines(&id(name)?) as f64, rest),
        // Transactions refused as too large after the limits were lowered.
        ["too_large", rest @ ..] => {
            let wrong = compare("too_large", sim.state.too_large.len() as f64, rest)?;
            let first = sim.state.too_large.first().cloned().unwrap_or_default();
            Ok(wrong.map(|wrong| format!("{wrong}: {first}")))
        }
        [name, "done"] => wrong(name, JobState::Done),
        [name, "cancelled"] => wrong(name, JobState::Cancelled),
        [name, "refused"] => {
            let last = sim.rules.last(&id(name)?);
            Ok(last.map(|state| format!("{name} is {state:?}, expected to be refused")))
        }
        [name, "open"] => {
            let last = sim.rules.last(&id(name)?);
            let open = last.is_some_and(|state| !state.is_final());
            Ok((!open).then(|| format!("{name} is {last:?}, expected to be open")))
        }
        _ => Err("an expectation that cannot be read".into()),
    }
}

/// Plain words, with operators kept.
fn split_plain(text: &str) -> (Vec<&str>, ()) {
    (text.split_whitespace().collect(), ())
}

/// Runs a scenario; one whose world names `seeds=1..4` runs with each of them.
pub fn run(text: &str) -> Result<(), Failure> {
    let seeds = text
        .lines()
        .find(|line| line.starts_with("world "))
        .and_then(|line| line.split_whitespace().find_map(|word| word.strip_prefix("seeds=")));
    let Some(range) = seeds else { return run_once(text) };
    let bounds = range
        .split_once("..")
        .and_then(|(from, to)| Some((from.parse::<u64>().ok()?, to.parse::<u64>().ok()?)));
    let (first, last) = bounds.ok_or_else(|| Failure::Line(1, format!("no seeds: {range}")))?;
    let mut unmet = Vec::new();
    for seed in first..=last {
        let one = text.replacen(&format!("seeds={range}"), &format!("seed={seed}"), 1);
        match run_once(&one) {
            Err(Failure::Unmet(what)) => {
                unmet.extend(what.into_iter().map(|what| format!("seed {seed}: {what}")));
            }
            other => other?,
        }
    }
    if unmet.is_empty() { Ok(()) } else { Err(Failure::Unmet(unmet)) }
}

fn run_once(text: &str) -> Result<(), Failure> {
    let mut sim: Option<Sim> = None;
    let mut unmet = Vec::new();
    let mut may_break = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        let fail = |what: String| Failure::Line(index + 1, what);
        let Some((verb, rest)) = line.split_once(' ') else {
            if line.is_empty() {
                continue;
            }
            return Err(fail("a line of one word".into()));
        };
        if verb == "world" {
            sim = Some(world(&split(rest).1).map_err(fail)?);
            continue;
        }
        let Some(sim) = &mut sim else {
            return Err(fail("the world comes first".into()));
        };
        match verb {
            "at" => {
                let (time, what) = rest.split_once(' ').ok_or_else(|| fail("at what?".into()))?;
                let (time, step) = (number(time).map_err(fail)?, step(what.trim()).map_err(fail)?);
                sim.after(time - sim.now, step);
            }
            "until" => sim.run(number(rest).map_err(fail)?),
            "expect" => {
                if let Some(rule) = rest.strip_prefix("broken ") {
                    may_break.push(rule.to_owned());
                }
                if let Some(what) = expect(sim, rest).map_err(fail)? {
                    unmet.push(format!("line {}: {what}", index + 1));
                }
            }
            other => return Err(fail(format!("no line begins with {other}"))),
        }
    }
    if let Some(sim) = &sim {
        for (rule, what) in &sim.rules.broken {
            if !may_break.iter().any(|allowed| allowed == rule) {
                unmet.push(format!("rule {rule} broken: {what}"));
            }
        }
        for abuse in sim.state.abuses.iter().chain(&sim.cloud.abuses) {
            unmet.push(format!("protocol: {abuse}"));
        }
    }
    if unmet.is_empty() { Ok(()) } else { Err(Failure::Unmet(unmet)) }
}
