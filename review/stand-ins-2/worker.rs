//! A worker: reports to the controllers, executes their commands, and runs tasks.

use crate::http::{self, Answer, Client, Request};
use crate::json::J;
use crate::world::World;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Trim {
    Pulling,
    Running,
    Exited(&'static str),
}

#[derive(Clone, Debug)]
pub struct Task {
    pub trim: Trim,
    /// The end of the phase that the task is in.
    until: f64,
    cpus: f64,
    ram_gb: f64,
}

pub struct Inner {
    pub watch: u64,
    pub tally: u64,
    pub helm: u64,
    pub tasks: BTreeMap<(String, u64), Task>,
    images: BTreeMap<String, f64>,
    renewed_at: f64,
    changed: bool,
    pub gone: bool,
}

pub struct Worker {
    pub name: String,
    pub zone: String,
    spot: bool,
    port: u16,
    up_at: f64,
    pub inner: Mutex<Inner>,
}

impl Worker {
    pub fn boot(world: &Arc<World>, name: &str, zone: &str, spot: bool, up_at: f64) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let inner = Inner {
            watch: 1,
            tally: 0,
            helm: 0,
            tasks: BTreeMap::new(),
            images: BTreeMap::new(),
            renewed_at: up_at,
            changed: false,
            gone: false,
        };
        let worker = Arc::new(Worker {
            name: name.to_owned(),
            zone: zone.to_owned(),
            spot,
            port: listener.local_addr().unwrap().port(),
            up_at,
            inner: Mutex::new(inner),
        });
        let (w, d) = (Arc::downgrade(world), worker.clone());
        http::serve(listener, Arc::new(move |r| d.handle(&w.upgrade()?, &r)));
        let (w, d) = (world.clone(), worker.clone());
        spawn(move || d.step_until_gone(&w));
        let (w, d) = (world.clone(), worker.clone());
        spawn(move || d.report_until_gone(&w));
        worker
    }

    pub fn port(&self) -> u16 {
        self.port
    }

    fn is_up(&self, world: &World) -> bool {
        world.record.now() >= self.up_at
    }

    /// Waits while the machine boots; false if it is gone.
    fn wait_up(&self, world: &World) -> bool {
        loop {
            if self.inner.lock().unwrap().gone || world.is_over() {
                return false;
            }
            if self.is_up(world) {
                return true;
            }
            sleep(STEP);
        }
    }

    fn step_until_gone(&self, world: &World) {
        while self.wait_up(world) {
            self.step(world, &mut self.inner.lock().unwrap());
            sleep(STEP);
        }
    }

    fn step(&self, world: &World, inner: &mut Inner) {
        let now = world.record.now();
        if now - inner.renewed_at > world.lease_s {
            world.record.line(&format!("{}: lease of watch {} expired", self.name, inner.watch));
            for (piece, attempt) in inner.tasks.keys() {
                world.task_off(&self.name, piece, *attempt, "lease expired");
            }
            let pieces: Vec<String> = inner.tasks.keys().map(|(piece, _)| piece.clone()).collect();
            world.lease_ended(&self.name, &pieces);
            inner.tasks.clear();
            inner.watch += 1;
            inner.renewed_at = now;
            inner.changed = true;
        }
        for ((piece, attempt), task) in &mut inner.tasks {
            if task.trim == Trim::Pulling && now >= task.until {
                let is_done = world.has_result(piece);
                task.trim = if is_done { Trim::Exited("done") } else { Trim::Running };
                task.until = now + world.run_s(piece);
                inner.changed = true;
                if !is_done {
                    world.task_on(&self.name, piece, *attempt);
                }
            } else if task.trim == Trim::Running && now >= task.until {
                task.trim = Trim::Exited("done");
                inner.changed = true;
                world.task_off(&self.name, piece, *attempt, "done");
            }
        }
    }

    fn body(&self, inner: &mut Inner) -> String {
        inner.tally += 1;
        let pieces = inner.tasks.iter().map(|((piece, attempt), task)| {
            let (trim, cause) = match task.trim {
                Trim::Pulling => ("pulling", None),
                Trim::Running => ("running", None),
                Trim::Exited(cause) => ("exited", Some(cause)),
            };
            let mut fields =
                vec![("piece", J::str(piece)), ("try", J::int(*attempt)), ("trim", J::str(trim))];
            fields.extend(cause.map(|c| ("cause", J::str(c))));
            J::obj(fields)
        });
        let pieces = J::Arr(pieces.collect());
        J::obj(vec![
            ("berth", J::str(&self.name)),
            ("endpoint", J::str(&format!("127.0.0.1:{}", self.port))),
            ("hull", J::str(crate::world::HULL)),
            ("yard", J::str(&self.zone)),
            ("driftwood", J::Bool(self.spot)),
            ("watch", J::int(inner.watch)),
            ("tally", J::int(inner.tally)),
            ("helm", J::int(inner.helm)),
            ("warning_s", J::Null),
            ("pieces", pieces),
        ])
        .write()
    }

    fn execute(&self, world: &World, inner: &mut Inner, orders: &[J]) {
        let now = world.record.now();
        for o in orders {
            let (Some(order), Some(piece), Some(attempt)) =
                (o.get("order").text(), o.get("piece").text(), o.get("try").u64())
            else {
                continue;
            };
            let key = (piece.to_owned(), attempt);
            world.order(&self.name, order, piece, attempt);
            match order {
                "run" if !inner.tasks.contains_key(&key) => {
                    let task = self.start(world, inner, piece, now);
                    inner.tasks.insert(key, task);
                    inner.changed = true;
                }
                "halt" => {
                    if let Some(task) = inner.tasks.get_mut(&key) {
                        if task.trim == Trim::Running {
                            world.task_off(&self.name, piece, attempt, "stopped");
                        }
                        if !matches!(task.trim, Trim::Exited(_)) {
                            task.trim = Trim::Exited("stopped");
                            inner.changed = true;
                        }
                    }
                }
                "forget" => {
                    let exited = |t: &Task| matches!(t.trim, Trim::Exited(_));
                    if inner.tasks.get(&key).is_some_and(exited) {
                        inner.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&self, world: &World, inner: &mut Inner, piece: &str, now: f64) -> Task {
        let Some(job) = world.job_of(piece) else {
            return Task { trim: Trim::Exited("unknown"), until: now, cpus: 0.0, ram_gb: 0.0 };
        };
        let (cpus, ram_gb) = (job.cpus, job.ram_gb);
        let active = || inner.tasks.iter().filter(|(_, t)| !matches!(t.trim, Trim::Exited(_)));
        let used_cpus: f64 = active().map(|(_, t)| t.cpus).sum();
        let used_ram: f64 = active().map(|(_, t)| t.ram_gb).sum();
        let hull = &world.cloud.hull;
        let refused = if active().any(|((p, _), _)| p == piece) {
            Some("busy")
        } else if used_cpus + cpus > hull.cpus + 1e-6 || used_ram + ram_gb > hull.ram_gb + 1e-6 {
            Some("full")
        } else {
            None
        };
        if let Some(cause) = refused {
            return Task { trim: Trim::Exited(cause), until: now, cpus, ram_gb };
        }
        let ready = now + job.image_gb / hull.pull_gb_per_s;
        let until = *inner.images.entry(job.image.clone()).or_insert(ready);
        Task { trim: Trim::Pulling, until, cpus, ram_gb }
    }

    fn handle(&self, world: &Arc<World>, request: &Request) -> Answer {
        if !world.may_reach(request.client_port, self.port, &self.zone) {
            // Behind a cut: the connection stays silent.
            while !world.is_over() && !self.inner.lock().unwrap().gone {
                sleep(STEP);
            }
            return None;
        }
        if !self.wait_up(world) {
            while !world.is_over() {
                sleep(STEP);
            }
            return None;
        }
        let mut inner = self.inner.lock().unwrap();
        self.step(world, &mut inner);
        if request.path == "/inspect" {
            return Some((200, self.body(&mut inner)));
        }
        let body = J::parse(&request.body).unwrap_or(J::Null);
        let (Some(helm), Some(watch)) = (body.get("helm").u64(), body.get("watch").u64()) else {
            return Some((400, "{}".into()));
        };
        if helm < inner.helm || watch != inner.watch {
            return Some((409, self.body(&mut inner)));
        }
        inner.helm = helm;
        self.execute(world, &mut inner, body.get("orders").list());
        inner.changed = true;
        Some((200, self.body(&mut inner)))
    }

    fn report_until_gone(&self, world: &Arc<World>) {
        let mut client = Client::default();
        let mut node = (self.port as usize) % world.nodes.len();
        let mut last = 0.0;
        let mut wait_s = 0.0;
        while self.wait_up(world) {
            let now = world.record.now();
            let due = {
                let inner = self.inner.lock().unwrap();
                now - last >= wait_s || (inner.changed && now - last >= 0.5)
            };
            if !due {
                sleep(Duration::from_millis(20));
                continue;
            }
            last = now;
            let (body, watch) = {
                let mut inner = self.inner.lock().unwrap();
                inner.changed = false;
                (self.body(&mut inner), inner.watch)
            };
            let port = world.report_port(&self.zone, node);
            let answer = client.send(port, "POST", "/checkin", &body, Duration::from_secs(4));
            if !self.wait_up(world) {
                return;
            }
            match answer {
                Some((200, text)) => {
                    wait_s = world.report_s * (0.75 + 0.5 * ((now * 7.7) % 1.0));
                    self.on_response(world, &text, watch, now);
                }
                Some((421, text)) => {
                    client.close();
                    let harbor =
                        J::parse(&text).and_then(|b| b.get("harbor").text().map(str::to_owned));
                    match harbor.and_then(|h| world.node_index(&h)).filter(|n| *n != node) {
                        Some(other) => (node, wait_s) = (other, 0.2),
                        None => (node, wait_s) = ((node + 1) % world.nodes.len(), 1.0),
                    }
                }
                other => {
                    client.close();
                    if let Some((status, _)) = other {
                        world.report_refused(&self.name, status, body.len());
                    }
                    node = (node + 1) % world.nodes.len();
                    last = world.record.now();
                    wait_s = 1.0;
                    self.inner.lock().unwrap().changed = false;
                }
            }
        }
    }

    fn on_response(&self, world: &World, text: &str, watch: u64, sent_at: f64) {
        let Some(body) = J::parse(text) else { return };
        let mut inner = self.inner.lock().unwrap();
        let Some(helm) = body.get("helm").u64().filter(|helm| *helm >= inner.helm) else { return };
        if inner.watch != watch {
            return;
        }
        inner.changed |= helm > inner.helm;
        inner.helm = helm;
        inner.renewed_at = inner.renewed_at.max(sent_at);
        self.execute(world, &mut inner, body.get("orders").list());
    }

    /// Ends the machine with all that is on it.
    pub fn end(&self, world: &World) {
        let mut inner = self.inner.lock().unwrap();
        if inner.gone {
            return;
        }
        inner.gone = true;
        for ((piece, attempt), task) in &inner.tasks {
            if task.trim == Trim::Running {
                world.task_off(&self.name, piece, *attempt, "machine gone");
            }
        }
    }
}
