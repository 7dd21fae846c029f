//! The world of a run: controllers as processes, the platform's stand-ins, and the rules.

use crate::cloud::{Cloud, Hull};
use crate::gate::{self, Cut};
use crate::http::{self, Client};
use crate::json::J;
use crate::record::Record;
use crate::state::{Limits, State};
use crate::worker::{Trim, Worker};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub const HULL: &str = "tana-32";
pub const ZONES: [&str; 2] = ["shore-shed", "upper-loft"];
pub const TEAMS: [(&str, f64, f64); 3] = [
    ("lathe-crew", 288.0, 2500.0),
    ("foundry-crew", 208.0, 584.0),
    ("drawing-office", 288.0, 816.0),
];

pub struct NodeInfo {
    pub name: String,
    pub zone: &'static str,
    pub port: u16,
    config: PathBuf,
    process: Mutex<Option<Child>>,
    /// Ports by which the workers of each zone reach this node.
    report_ports: Vec<u16>,
}

#[derive(Clone)]
pub struct Job {
    pub cpus: f64,
    pub ram_gb: f64,
    pub image: String,
    pub image_gb: f64,
    pub run_s: f64,
}

#[derive(Default)]
struct Tasks {
    on: BTreeMap<String, BTreeSet<String>>,
    results: BTreeSet<String>,
    starts: Vec<(f64, String, String)>,
}

pub struct World {
    pub record: Record,
    pub state: State,
    pub cloud: Cloud,
    pub report_s: f64,
    pub lease_s: f64,
    pub nodes: Vec<NodeInfo>,
    /// The zone that is cut off from everything, by its cut.
    pub cut_zone: &'static str,
    pub cut: Cut,
    pub workers: Mutex<BTreeMap<String, Arc<Worker>>>,
    jobs: Mutex<BTreeMap<String, Job>>,
    tasks: Mutex<Tasks>,
    refused_reports: Mutex<BTreeMap<(String, u16), (usize, usize)>>,
    /// The controller that the state service refuses, if any.
    pub refused: Mutex<Option<usize>>,
    over: AtomicBool,
    dir: PathBuf,
    run: Vec<String>,
}

/// A free port below those that the system gives to outgoing connections.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id().wrapping_mul(97) % 20_000;
    for _ in 0..20_000 {
        let port = 10_000 + (first as u16 + NEXT.fetch_add(1, SeqCst)) % 20_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
    panic!("no free port");
}

impl World {
    /// Makes the stand-ins of the first deployment of the brief, and the controllers' settings.
    pub fn new(record: Record, run: Vec<String>) -> Arc<World> {
        let dir = std::env::temp_dir().join(format!("gladekeel-review-2-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let limits = Limits { rps: 70.0, write_rps: 25.0, value_bytes: 8 * 1024, txn_ops: 12 };
        let hull = Hull {
            name: HULL,
            cpus: 32.0,
            ram_gb: 128.0,
            cache_gb: 40.0,
            pull_gb_per_s: 0.2,
            ready_s: 50.0,
            // "At times machines are up within a second or two."
            boot_s: 2.0,
            price: 2.19,
            spot_price: 0.73,
        };
        let (cut_zone, cut) = (ZONES[1], Cut::default());
        let zones = [ZONES[0], ZONES[1], ZONES[0]];
        let binds: Vec<(u16, u16)> = zones.iter().map(|_| (free_port(), free_port())).collect();
        let nodes = (0..3).map(|i| {
            let report_ports =
                ZONES
                    .iter()
                    .map(|z| {
                        if *z == zones[i] {
                            binds[i].0
                        } else {
                            gate::open(binds[i].0, cut.clone())
                        }
                    })
                    .collect();
            NodeInfo {
                name: format!("berth-{i}"),
                zone: zones[i],
                port: binds[i].0,
                config: dir.join(format!("berth-{i}.toml")),
                process: Mutex::default(),
                report_ports,
            }
        });
        let nodes: Vec<NodeInfo> = nodes.collect();
        let world = Arc::new(World {
            record,
            state: State::new(limits),
            cloud: Cloud::new(hull, &ZONES, (18, 7), 6.0),
            report_s: 3.0,
            lease_s: 45.0,
            nodes,
            cut_zone,
            cut,
            workers: Mutex::default(),
            jobs: Mutex::default(),
            tasks: Mutex::default(),
            refused_reports: Mutex::default(),
            refused: Mutex::default(),
            over: AtomicBool::new(false),
            dir,
            run,
        });
        for i in 0..3 {
            world.write_settings(i, &binds);
        }
        world
    }

    fn link(&self, port: u16, is_cut: bool) -> u16 {
        if is_cut {
            gate::open(port, self.cut.clone())
        } else {
            port
        }
    }

    fn write_settings(self: &Arc<World>, i: usize, binds: &[(u16, u16)]) {
        let node = &self.nodes[i];
        let in_cut_zone = node.zone == self.cut_zone;
        let (state, cloud) =
            (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
        let state_port = self.link(state.local_addr().unwrap().port(), in_cut_zone);
        let cloud_port = self.link(cloud.local_addr().unwrap().port(), in_cut_zone);
        let w = Arc::downgrade(self);
        http::serve(
            state,
            Arc::new(move |r| {
                let w = w.upgrade()?;
                let is_refused = *w.refused.lock().unwrap() == Some(i);
                if is_refused {
                    return Some((503, "{\"error\":\"trouble\"}".into()));
                }
                w.state.handle(&r)
            }),
        );
        let w = Arc::downgrade(self);
        http::serve(
            cloud,
            Arc::new(move |r| {
                let w = w.upgrade()?;
                w.cloud.handle(&w, i, &r)
            }),
        );
        let mut text = format!(
            "node = \"{}\"\nsite = \"{}\"\nbind = \"127.0.0.1:{}\"\nmesh_addr = \"127.0.0.1:{}\"\n",
            node.name, node.zone, binds[i].0, binds[i].1
        );
        for (j, other) in self.nodes.iter().enumerate().filter(|(j, _)| *j != i) {
            let port = self.link(binds[j].1, other.zone != node.zone);
            text += &format!(
                "\n[[siblings]]\nnode = \"{}\"\nsite = \"{}\"\npeer_addr = \"127.0.0.1:{port}\"\n",
                other.name, other.zone
            );
        }
        text += &format!(
            "\n[services]\ncloud = \"127.0.0.1:{cloud_port}\"\nstate = \"127.0.0.1:{state_port}\"\n\n\
             [deployment]\ncount = 3\nzones = [\"{}\", \"{}\"]\ntime_bound_ms = 25.0\n",
            ZONES[0], ZONES[1]
        );
        for (name, cpus, max) in TEAMS {
            text += &format!(
                "\n[[deployment.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {max:.1}\n\
                 gpus = 0.0\ngpus_max = 0.0\n"
            );
        }
        text += "\n[[deployment.objectives]]\nkind = \"finished\"\nclass = \"toolpath-batch\"\n\
                 within_s = 150.0\nshare = 0.95\n\n[deployment.workers]\nreport_s = 3.0\n\
                 lease_s = 45.0\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = 65.0\n\n\
                 [deployment.state]\nrps = 70.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 12\n\n\
                 [deployment.cloud]\nrps = 4.0\nlist_lag_s = 6.0\n\n[deployment.limits]\n\
                 cpu_share = 0.16\nram_mb = 264.0\nmax_connections = 5000\n";
        fs::write(&node.config, text).expect("settings can be written");
    }

    pub fn start(&self, i: usize) {
        let node = &self.nodes[i];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", node.name)))
            .expect("a log");
        let mut command = Command::new(&self.run[0]);
        command.args(&self.run[1..]).arg(&node.config).stdin(Stdio::null());
        command.stdout(Stdio::null()).stderr(log).env("LOG_LEVEL", "info");
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().expect("the controller starts");
        self.record.line(&format!("{} started, process {}", node.name, child.id()));
        *node.process.lock().unwrap() = Some(child);
    }

    pub fn kill(&self, i: usize) {
        if let Some(mut child) = self.nodes[i].process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} killed", self.nodes[i].name));
        }
    }

    /// Whether a controller has ended by itself.
    pub fn has_ended(&self, i: usize) -> bool {
        let mut process = self.nodes[i].process.lock().unwrap();
        process.as_mut().is_some_and(|c| c.try_wait().ok().flatten().is_some())
    }

    pub fn node_index(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|n| n.name == name)
    }

    /// The holder of the leader's key in the state service, and its token.
    pub fn leader(&self) -> Option<(usize, u64)> {
        let value = self.state.value("gk/leader")?;
        let node = self.node_index(value.get("node").text()?)?;
        Some((node, self.state.version("gk/leader")))
    }

    pub fn wait_for(&self, what: &str, limit_s: f64, f: impl Fn() -> bool) -> bool {
        let end = self.record.now() + limit_s;
        while self.record.now() < end {
            if f() {
                self.record.line(&format!("now: {what}"));
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("not in {limit_s} s: {what}"));
        false
    }

    pub fn sleep_until(&self, t: f64) {
        while self.record.now() < t {
            sleep(Duration::from_millis(20));
        }
    }

    pub fn is_over(&self) -> bool {
        self.over.load(SeqCst)
    }

    // Workers and tasks.

    pub fn boot_worker(self: &Arc<World>, name: &str, zone: &str, spot: bool, up_at: f64) -> u16 {
        let worker = Worker::boot(self, name, zone, spot, up_at);
        let port = worker.port();
        self.workers.lock().unwrap().insert(name.to_owned(), worker);
        port
    }

    pub fn worker(&self, name: &str) -> Option<Arc<Worker>> {
        self.workers.lock().unwrap().get(name).cloned()
    }

    pub fn end_worker(&self, name: &str) {
        if let Some(worker) = self.worker(name) {
            worker.end(self);
        }
    }

    pub fn report_port(&self, zone: &str, node: usize) -> u16 {
        let position = ZONES.iter().position(|z| *z == zone).unwrap_or(0);
        self.nodes[node].report_ports[position]
    }

    pub fn report_refused(&self, machine: &str, status: u16, bytes: usize) {
        let mut refused = self.refused_reports.lock().unwrap();
        let entry = refused.entry((machine.to_owned(), status)).or_default();
        *entry = (entry.0 + 1, bytes.max(entry.1));
        if entry.0 <= 3 {
            self.record.line(&format!("{machine}: report of {bytes} bytes refused with {status}"));
        }
    }

    /// The lease of a worker has ended.
    pub fn lease_ended(&self, machine: &str, tasks: &[String]) {
        let too_large = (machine.to_owned(), 413);
        let refused = self.refused_reports.lock().unwrap().get(&too_large).copied();
        if let Some((count, bytes)) = refused.filter(|_| !tasks.is_empty()) {
            self.record.violation(&format!(
                "accepted work lost: the controllers refused {count} reports of {machine} of up to \
                 {bytes} bytes with 413, its lease ended, and {} tasks on it were killed, first {:?}",
                tasks.len(),
                tasks[0]
            ));
        }
    }

    /// Whether the process that owns the client's end of a connection is on this side of the cut.
    pub fn may_reach(&self, client_port: u16, port: u16, zone: &str) -> bool {
        if !self.cut.is_cut() {
            return true;
        }
        let Some(inode) = socket_inode(client_port, port) else { return true };
        let owner = self.nodes.iter().find(|n| {
            let pid = n.process.lock().unwrap().as_ref().map(Child::id);
            pid.is_some_and(|pid| owns_socket(pid, &inode))
        });
        owner.is_none_or(|n| (n.zone == self.cut_zone) == (zone == self.cut_zone))
    }

    pub fn job_of(&self, piece: &str) -> Option<Job> {
        self.jobs.lock().unwrap().get(piece.split('/').next()?).cloned()
    }

    pub fn run_s(&self, piece: &str) -> f64 {
        self.job_of(piece).map_or(1.0, |j| j.run_s)
    }

    pub fn has_result(&self, piece: &str) -> bool {
        self.tasks.lock().unwrap().results.contains(piece)
    }

    pub fn results(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        self.tasks.lock().unwrap().results.iter().filter(|p| p.starts_with(&prefix)).count()
    }

    /// The starts of tasks on a machine: time and task.
    pub fn starts_on(&self, machine: &str) -> Vec<(f64, String)> {
        let tasks = self.tasks.lock().unwrap();
        let on = tasks.starts.iter().filter(|(_, m, _)| m == machine);
        on.map(|(t, _, p)| (*t, p.clone())).collect()
    }

    pub fn running(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        let tasks = self.tasks.lock().unwrap();
        tasks.on.iter().filter(|(p, m)| p.starts_with(&prefix) && !m.is_empty()).count()
    }

    pub fn task_on(&self, machine: &str, piece: &str, attempt: u64) {
        let mut tasks = self.tasks.lock().unwrap();
        tasks.starts.push((self.record.now(), machine.to_owned(), piece.to_owned()));
        let on = tasks.on.entry(piece.to_owned()).or_default();
        self.record.line(&format!("{machine}: {piece} try {attempt} runs"));
        if !on.is_empty() {
            self.record.violation(&format!("ran_twice: {piece} on {machine} and on {on:?}"));
        }
        on.insert(machine.to_owned());
    }

    pub fn task_off(&self, machine: &str, piece: &str, attempt: u64, why: &str) {
        let mut tasks = self.tasks.lock().unwrap();
        if let Some(on) = tasks.on.get_mut(piece) {
            on.remove(machine);
        }
        if why == "done" {
            tasks.results.insert(piece.to_owned());
        }
        self.record.line(&format!("{machine}: {piece} try {attempt} off: {why}"));
    }

    pub fn order(&self, machine: &str, order: &str, piece: &str, attempt: u64) {
        self.record.line(&format!("{machine}: order {order} {piece} try {attempt}"));
    }

    /// A deletion by a process that no longer leads, of a machine that works for the leader.
    pub fn check_deletion(&self, node: usize, names: &[String]) {
        let Some((leader, token)) = self.leader().filter(|(leader, _)| *leader != node) else {
            return;
        };
        for name in names {
            let Some(worker) = self.worker(name) else { continue };
            let inner = worker.inner.lock().unwrap();
            let running: Vec<&String> = inner
                .tasks
                .iter()
                .filter(|(_, t)| t.trim == Trim::Running)
                .map(|((p, _), _)| p)
                .collect();
            if !inner.gone && inner.helm == token && !running.is_empty() {
                self.record.violation(&format!(
                    "stale leader acts: {} deletes {name}, which reports to the leader {} under its \
                     token {token} and runs {running:?}",
                    self.nodes[node].name, self.nodes[leader].name
                ));
            }
        }
    }

    // Users.

    pub fn user(
        &self,
        nodes: &[usize],
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(usize, u16, String)> {
        for node in nodes {
            let port = self.nodes[*node].port;
            let sent = Client::default().send(port, method, path, body, Duration::from_secs(5));
            let answer = sent.as_ref().map_or("none".to_owned(), |(s, b)| format!("{s} {b}"));
            self.record
                .line(&format!("user: {method} {path} at {}: {answer}", self.nodes[*node].name));
            if let Some((status, text)) = sent {
                if status < 500 && status != 429 {
                    return Some((*node, status, text));
                }
            }
        }
        None
    }

    /// Repeats a request for up to 60 s until a node answers it.
    pub fn persist(
        &self,
        nodes: &[usize],
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(usize, u16, String)> {
        let end = self.record.now() + 60.0;
        while self.record.now() < end {
            if let Some(answer) = self.user(nodes, method, path, body) {
                return Some(answer);
            }
            sleep(Duration::from_secs(1));
        }
        None
    }

    /// Submits an array job; true if it was accepted.
    #[allow(clippy::too_many_arguments)]
    pub fn submit(
        &self,
        nodes: &[usize],
        id: &str,
        team: &str,
        pieces: u32,
        yard: Option<&str>,
        driftwood: bool,
        job: Job,
    ) -> bool {
        let body = J::obj(vec![
            ("name_id", J::str(id)),
            ("rig", J::str("toolpath-batch")),
            ("crew", J::str(team)),
            ("build", J::str("array")),
            ("urgency", J::str("normal")),
            ("pieces", J::int(pieces.into())),
            ("vcpus", J::real(job.cpus)),
            ("gpus", J::real(0.0)),
            ("ram_gb", J::real(job.ram_gb)),
            ("pattern", J::str(&job.image)),
            ("size_gb", J::real(job.image_gb)),
            ("hulls", J::Null),
            ("yard", yard.map_or(J::Null, J::str)),
            ("one_zone", J::Bool(false)),
            ("scatter", J::Bool(false)),
            ("driftwood", J::Bool(driftwood)),
            ("reckon_s", J::real(job.run_s)),
            ("mark_s", J::real(0.0)),
            ("stow_s", J::real(0.0)),
            ("launch_s", J::Null),
        ]);
        self.jobs.lock().unwrap().insert(id.to_owned(), job);
        let answer = self.persist(nodes, "POST", "/api/jobs", &body.write());
        answer.is_some_and(|(_, status, _)| status == 201 || status == 200)
    }

    /// The state of a job as a user sees it.
    pub fn poll(&self, nodes: &[usize], id: &str) -> Option<String> {
        let (_, status, body) = self.user(nodes, "GET", &format!("/api/jobs/{id}"), "")?;
        let state = J::parse(&body)?.get("trim").text()?.to_owned();
        (status == 200).then_some(state)
    }

    /// Ends everything that the run started. With KEEP, the controllers' logs stay.
    pub fn end(&self) {
        self.over.store(true, SeqCst);
        for i in 0..self.nodes.len() {
            self.kill(i);
        }
        for ((machine, status), (count, bytes)) in self.refused_reports.lock().unwrap().iter() {
            self.record.line(&format!(
                "{machine}: {count} reports refused with {status}, the largest of {bytes} bytes"
            ));
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn socket_inode(local: u16, remote: u16) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let port = |field: &str| u16::from_str_radix(field.split(':').nth(1)?, 16).ok();
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_it = port(fields.get(1)?)? == local && port(fields.get(2)?)? == remote;
        is_it.then(|| (*fields.get(9).unwrap_or(&"")).to_owned())
    })
}

fn owns_socket(pid: u32, inode: &str) -> bool {
    let target = format!("socket:[{inode}]");
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let links = entries.flatten().filter_map(|e| fs::read_link(e.path()).ok());
    links.into_iter().any(|l| l.to_string_lossy() == target)
}
