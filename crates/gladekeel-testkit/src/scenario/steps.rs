//! What happens at a time.

use super::{
    targets::{holder, some_workers, take_once_done, which},
    words::{id, names, number, split},
    world::job,
};
use crate::{
    sim::{Cut, From, Sim},
    state::Limits,
    worker::Worker,
};
use gladekeel_wire::{JobId, job::JobSpec};

/// What happens at a time.
pub(super) type Step = Box<dyn FnOnce(&mut Sim)>;

/// Reads what happens at a time.
pub(super) fn step(text: &str) -> Result<Step, String> {
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
