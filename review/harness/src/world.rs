//! A small deployment on loopback: the project's controllers as separate processes, and stand-ins
//! for the state service, the cloud, the workers and the network between controllers.
//!
//! The stand-ins are the testkit's, with HTTP in front of them. Everything runs on the real clock.

use gladekeel_controller::{
    cloud_api::{CloudOutcome, CloudRequest},
    keys,
};
use gladekeel_http::{Client, Limits, Request, Response, Server};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_testkit::stand_ins::{
    cloud::{CloudResponse, FakeCloud},
    gang::GangRuntime,
    resources::Resources,
    store::{FakeStore, StoreLimits},
    worker::{FakeWorker, MachineIdentity, WorkerEvent},
};
use gladekeel_wire::{
    JobId, TaskId,
    cloud::{CreateMachinesRequest, MachineNames, MachineType, MachineTypes},
    job::{JobSpec, JobState, JobStatus},
    store::{GrantedLease, LeaseRequest, Transaction, TransactionResponse, Write as StoreWrite},
    worker::{DirectCommands, Heartbeat, HeartbeatResponse, Redirect},
};
use serde::Serialize;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    io::Write,
    net::SocketAddr,
    ops::Range,
    path::PathBuf,
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
};

/// Time between two steps of a worker.
const STEP: Duration = Duration::from_millis(50);
/// Pages, "Workers -> controller nodes": a report goes out not more often than every half second.
const MIN_REPORT_S: f64 = 0.5;

/// The settings of a deployment, which are those of a site file.
#[derive(Clone)]
pub struct Site {
    pub nodes: usize,
    pub zones: Vec<&'static str>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub store_rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu_share: f64,
    pub ram_mb: f64,
    pub max_connections: u32,
    /// Name, guaranteed CPUs, most CPUs.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub machine: MachineType,
    /// How long a rented machine takes until it is up; the cloud says what is usual.
    pub boot_s: f64,
    /// When the workers that are up at the start send their first reports.
    pub first_reports_s: f64,
}

/// The ports of a controller, and of what it is told to connect to.
struct NodePorts {
    http: u16,
    mesh: u16,
    state: u16,
    cloud: u16,
    /// The proxies by which it reaches the other controllers.
    peers: BTreeMap<usize, u16>,
}

/// A task on a machine, as the platform sees it.
#[derive(Clone)]
pub struct Present {
    pub machine: String,
    pub since: f64,
}

/// A deletion that a controller asked of the cloud.
#[derive(Clone)]
pub struct Deletion {
    pub at: f64,
    pub node: usize,
    /// The controller that held the leader's key, and since when.
    pub leader: Option<(usize, f64)>,
    /// The machines that existed, each with the tasks that ran there.
    pub machines: Vec<(String, Vec<TaskId>)>,
}

pub struct World {
    pub site: Site,
    started: Instant,
    store: RefCell<FakeStore>,
    pub cloud: RefCell<FakeCloud>,
    pub workers: RefCell<BTreeMap<String, FakeWorker>>,
    jobs: RefCell<BTreeMap<JobId, JobSpec>>,
    /// Share of transactions whose answer is lost and which are carried out some seconds late.
    pub late_writes: Cell<f64>,
    /// Seconds by which the state service answers late.
    pub slow_s: Cell<f64>,
    /// Share of direct commands that are held up on their way and carried out 2 to 16 s late.
    pub late_commands: Cell<f64>,
    gangs: RefCell<GangRuntime>,
    /// Share of reports of which a copy arrives again at some controller, up to a lease later.
    pub late_reports: Cell<f64>,
    /// Controllers that are cut off from the state service: packets are lost.
    pub cut_from_state: Vec<Cell<bool>>,
    /// Controllers that are cut off from the other controllers: connections are reset.
    pub cut_from_peers: Vec<Cell<bool>>,
    ports: Vec<NodePorts>,
    processes: RefCell<Vec<Option<Child>>>,
    dir: PathBuf,
    record: RefCell<File>,
    pub present: RefCell<BTreeMap<TaskId, Present>>,
    pub completed: RefCell<BTreeMap<JobId, BTreeSet<u32>>>,
    pub told_cancelled: RefCell<BTreeMap<JobId, f64>>,
    pub deletions: RefCell<Vec<Deletion>>,
    /// The holder of the leader's key and since when it holds it.
    pub leader: Cell<Option<(usize, f64)>>,
    pub violations: RefCell<Vec<String>>,
    healthy: Vec<Cell<bool>>,
    next_node: Cell<usize>,
}

fn json<T: Serialize>(status: u16, body: &T) -> Response {
    Response::json(status, serde_json::to_vec(body).expect("serialises"))
}

fn query<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let mut pairs = request.query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
}

/// A free port for a controller. It is below the ports that the system gives to connections, since
/// a controller that restarts must find it free again.
fn free_port() -> u16 {
    loop {
        let port = rand::random_range(10_000..32_000);
        if std::net::TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Limits under which the stand-in of the state service takes what was written before a case.
const NO_LIMITS: StoreLimits = StoreLimits {
    rps: f64::INFINITY,
    write_rps: f64::INFINITY,
    txn_ops: usize::MAX / 8,
    value: 64 * 1024,
};

fn store_limits(site: &Site) -> StoreLimits {
    StoreLimits {
        rps: site.store_rps,
        write_rps: site.write_rps,
        txn_ops: site.txn_ops,
        value: (site.value_kb * 1024.0) as usize,
    }
}

/// Writes what a controller writes for a job that is done: only the final state stays.
fn add_finished_jobs(store: &mut FakeStore, numbers: Range<u32>) {
    let numbers: Vec<u32> = numbers.collect();
    for chunk in numbers.chunks(500) {
        let writes = chunk.iter().map(|number| StoreWrite::Put {
            key: format!("{}job-{number:06}", keys::FINAL_STATE_PREFIX),
            value: "done".into(),
            lease: None,
        });
        let transaction = Transaction { preconditions: Vec::new(), writes: writes.collect() };
        let outcome = store.call(0.0, 0, &StoreRequest::Commit(transaction));
        assert!(matches!(outcome, StoreOutcome::Committed(_)), "{outcome:?}");
    }
}

async fn listen() -> (TcpListener, u16) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let port = listener.local_addr().expect("an address").port();
    (listener, port)
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop();
    }
}

impl World {
    /// Starts the stand-ins. The cloud has `machines` machines, all of them rented and up for
    /// five minutes, and `spare` further ones, half of them cheap. The state service holds what the
    /// controllers have written there for `finished_jobs` jobs that are long done.
    pub async fn start(
        site: Site,
        record: &str,
        machines: u32,
        spare: u32,
        finished_jobs: u32,
    ) -> Rc<World> {
        let dir = std::env::temp_dir().join(format!("gladekeel-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let zones = site.zones.clone();
        let share = |zone: usize, all: u32| all / 2 + u32::from(zone == 0) * (all % 2);
        let mut capacity = BTreeMap::new();
        for (index, zone) in zones.iter().enumerate() {
            let of_zone = |all| if zones.len() == 1 { all } else { share(index, all) };
            capacity.insert(((*zone).to_owned(), false), of_zone(machines) + of_zone(spare) / 2);
            capacity.insert(((*zone).to_owned(), true), of_zone(spare) - of_zone(spare) / 2);
        }
        let cloud = FakeCloud::new(vec![site.machine.clone()], capacity, site.list_lag_s);
        let mut store = FakeStore::new(NO_LIMITS);
        add_finished_jobs(&mut store, 0..finished_jobs);
        store.lower_limits(store_limits(&site));
        let mut ports = Vec::new();
        let mut servers = Vec::new();
        for node in 0..site.nodes {
            let (state, state_port) = listen().await;
            let (cloud, cloud_port) = listen().await;
            servers.push((node, state, cloud));
            ports.push(NodePorts {
                http: free_port(),
                mesh: free_port(),
                state: state_port,
                cloud: cloud_port,
                peers: BTreeMap::new(),
            });
        }
        let mut proxies = Vec::new();
        for from in 0..site.nodes {
            for to in (0..site.nodes).filter(|to| *to != from) {
                let (listener, port) = listen().await;
                ports[from].peers.insert(to, port);
                proxies.push((from, to, listener));
            }
        }
        let cells = |value: bool| (0..site.nodes).map(|_| Cell::new(value)).collect::<Vec<_>>();
        let world = Rc::new(World {
            started: Instant::now(),
            store: RefCell::new(store),
            cloud: RefCell::new(cloud),
            workers: RefCell::default(),
            jobs: RefCell::default(),
            late_writes: Cell::new(0.0),
            slow_s: Cell::new(0.0),
            late_reports: Cell::new(0.0),
            late_commands: Cell::new(0.0),
            gangs: RefCell::new(GangRuntime::new(4.0)),
            cut_from_state: cells(false),
            cut_from_peers: cells(false),
            ports,
            processes: RefCell::new((0..site.nodes).map(|_| None).collect()),
            dir,
            record: RefCell::new(File::create(record).expect("the record")),
            present: RefCell::default(),
            completed: RefCell::default(),
            told_cancelled: RefCell::default(),
            deletions: RefCell::default(),
            leader: Cell::new(None),
            violations: RefCell::default(),
            healthy: cells(false),
            next_node: Cell::new(0),
            site,
        });
        for (node, state, cloud) in servers {
            world.clone().serve(node, state, cloud);
        }
        for (from, to, listener) in proxies {
            spawn_local(world.clone().proxy(from, to, listener));
        }
        for (index, zone) in zones.iter().enumerate() {
            let count = if zones.len() == 1 { machines } else { share(index, machines) };
            if count > 0 {
                world.rent_before(zone, count);
            }
        }
        for node in 0..world.site.nodes {
            spawn_local(world.clone().check_health(node));
        }
        spawn_local(world.clone().step_gangs());
        world
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line of the record.
    pub fn note(&self, line: &str) {
        let _ = writeln!(self.record.borrow_mut(), "{:8.3} {line}", self.now());
    }

    /// Records that a rule was broken.
    pub fn violation(&self, line: String) {
        self.note(&format!("BROKEN {line}"));
        self.violations.borrow_mut().push(line);
    }

    // ---- controllers ----

    fn settings(&self, node: usize) -> String {
        let site = &self.site;
        let ports = &self.ports[node];
        let zone = |node: usize| site.zones[node % site.zones.len()];
        let mut text = format!(
            "node = \"berth-{node}\"\nsite = \"{}\"\nbind = \"127.0.0.1:{}\"\nmesh_addr = \"127.0.0.1:{}\"\n",
            zone(node),
            ports.http,
            ports.mesh
        );
        for (peer, port) in &ports.peers {
            text += &format!(
                "[[siblings]]\nnode = \"berth-{peer}\"\nsite = \"{}\"\npeer_addr = \"127.0.0.1:{port}\"\n",
                zone(*peer)
            );
        }
        text += &format!(
            "[services]\ncloud = \"127.0.0.1:{}\"\nstate = \"127.0.0.1:{}\"\n",
            ports.cloud, ports.state
        );
        text += &format!(
            "[deployment]\ncount = {}\nzones = {:?}\ntime_bound_ms = 25.0\n",
            site.nodes, site.zones
        );
        for (name, cpus, cpus_max) in &site.teams {
            text += &format!(
                "[[deployment.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {cpus_max:.1}\ngpus = 0.0\ngpus_max = 0.0\n"
            );
        }
        text + &format!(
            "[deployment.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = {:.1}\n\
             [deployment.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n\
             [deployment.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n\
             [deployment.limits]\ncpu_share = {}\nram_mb = {:.1}\nmax_connections = {}\n",
            site.report_s,
            site.lease_s,
            site.cancel_s,
            site.store_rps,
            site.write_rps,
            site.value_kb,
            site.txn_ops,
            site.cloud_rps,
            site.list_lag_s,
            site.cpu_share,
            site.ram_mb,
            site.max_connections
        )
    }

    /// Starts a controller with the command of the deploy file.
    pub fn start_node(&self, node: usize) {
        let deploy = fs::read_to_string("deploy/service.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("run");
        let mut words = run.trim().trim_matches('"').split_whitespace();
        let settings = self.dir.join(format!("node-{node}.toml"));
        fs::write(&settings, self.settings(node)).expect("the settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("node-{node}.log")))
            .expect("a log");
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .arg(&settings)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the controller starts; build it first");
        self.note(&format!("berth-{node} started, process {}", child.id()));
        self.processes.borrow_mut()[node] = Some(child);
    }

    /// Kills a controller, as the pages say: with no signal that it could handle.
    pub fn kill_node(&self, node: usize) {
        if let Some(mut child) = self.processes.borrow_mut()[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.note(&format!("berth-{node} killed"));
        }
    }

    /// Sends a signal (`STOP` or `CONT`) to a controller.
    pub fn signal_node(&self, node: usize, signal: &str) {
        let pid = self.processes.borrow()[node].as_ref().map(Child::id);
        if let Some(pid) = pid {
            let sent = Command::new("sh").arg("-c").arg(format!("kill -{signal} {pid}")).status();
            assert!(sent.is_ok_and(|status| status.success()), "cannot signal {pid}");
            self.note(&format!("berth-{node} gets SIG{signal}"));
        }
    }

    /// The memory that a controller's process holds itself, without the program's file, in MB.
    pub fn memory_mb(&self, node: usize) -> Option<f64> {
        let pid = self.processes.borrow()[node].as_ref().map(Child::id)?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kilobytes: f64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(kilobytes * 1024.0 / 1e6)
    }

    /// Writes the final states of jobs that end while the controllers run.
    pub fn finish_jobs(&self, numbers: Range<u32>) {
        let mut store = self.store.borrow_mut();
        store.lower_limits(NO_LIMITS);
        add_finished_jobs(&mut store, numbers);
        store.lower_limits(store_limits(&self.site));
    }

    /// Writes a job that was accepted, as a controller writes it.
    pub fn accept_before(&self, spec: &JobSpec) {
        let mut value = serde_json::to_value(spec).expect("serialises");
        value[keys::ACCEPTED_AT] = 1.0.into();
        let put = StoreWrite::Put { key: keys::job(&spec.id), value, lease: None };
        let transaction = Transaction { preconditions: Vec::new(), writes: vec![put] };
        let mut store = self.store.borrow_mut();
        store.lower_limits(NO_LIMITS);
        store.call(self.now(), 0, &StoreRequest::Commit(transaction));
        store.lower_limits(store_limits(&self.site));
        self.jobs.borrow_mut().insert(spec.id.clone(), spec.clone());
    }

    /// Nodes whose process has ended by itself.
    pub fn ended_nodes(&self) -> Vec<usize> {
        let mut processes = self.processes.borrow_mut();
        let ended = processes.iter_mut().enumerate().filter_map(|(node, child)| {
            let child = child.as_mut()?;
            child.try_wait().ok().flatten().map(|_| node)
        });
        ended.collect()
    }

    /// Ends all processes and removes the temporary folder.
    pub fn stop(&self) {
        for node in 0..self.site.nodes {
            self.kill_node(node);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }

    /// Waits until a controller other than `not` holds the leader's key and says that it is up.
    pub async fn wait_for_leader(&self, not: Option<usize>, within_s: f64) -> Option<usize> {
        let until = self.now() + within_s;
        while self.now() < until {
            if let Some((leader, _)) = self.leader.get()
                && Some(leader) != not
                && self.healthy[leader].get()
            {
                return Some(leader);
            }
            sleep(Duration::from_millis(50)).await;
        }
        None
    }

    fn addr(&self, node: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.ports[node].http))
    }

    /// The load balancer's probe: two failures in a row mark a node unhealthy, two successes mark
    /// it healthy again, and one is enough at first.
    async fn check_health(self: Rc<Self>, node: usize) {
        let (mut good, mut bad, mut was_healthy) = (0, 0, false);
        loop {
            let client = Client::new(self.addr(node), 0);
            let reply = client.send("GET", "/up", &[], Duration::from_secs(1)).await;
            if reply.is_ok_and(|reply| reply.status == 200) {
                (good, bad) = (good + 1, 0);
            } else {
                (good, bad) = (0, bad + 1);
            }
            if bad >= 2 {
                self.healthy[node].set(false);
            } else if good >= 2 || (good == 1 && !was_healthy) {
                self.healthy[node].set(true);
                was_healthy = true;
            }
            sleep(
                Duration::from_secs(if was_healthy { 1 } else { 0 })
                    .max(Duration::from_millis(200)),
            )
            .await;
        }
    }

    // ---- the network between controllers ----

    async fn proxy(self: Rc<Self>, from: usize, to: usize, listener: TcpListener) {
        loop {
            let Ok((mut inbound, _)) = listener.accept().await else { continue };
            let world = self.clone();
            spawn_local(async move {
                if world.is_peer_cut(from, to) {
                    return;
                }
                let mesh = SocketAddr::from(([127, 0, 0, 1], world.ports[to].mesh));
                let Ok(mut outbound) = TcpStream::connect(mesh).await else { return };
                let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
                let cut = async {
                    while !world.is_peer_cut(from, to) {
                        sleep(Duration::from_millis(20)).await;
                    }
                };
                tokio::select! {
                    _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
                    () = cut => {}
                }
            });
        }
    }

    fn is_peer_cut(&self, from: usize, to: usize) -> bool {
        self.cut_from_peers[from].get() || self.cut_from_peers[to].get()
    }

    // ---- the state service and the cloud ----

    fn serve(self: Rc<Self>, node: usize, state: TcpListener, cloud: TcpListener) {
        let limits = Limits::for_connections(1000);
        let world = self.clone();
        spawn_local(Server::new(state, limits).run(move |request| {
            let world = world.clone();
            async move { world.on_store_request(node, &request).await }
        }));
        spawn_local(Server::new(cloud, limits).run(move |request| {
            let world = self.clone();
            async move { world.on_cloud_request(node, &request) }
        }));
    }

    async fn on_store_request(&self, node: usize, request: &Request) -> Response {
        while self.cut_from_state[node].get() {
            // The packets of this request are lost; its sender has given up long before the end.
            sleep(Duration::from_millis(200)).await;
            if !self.cut_from_state[node].get() {
                return Response::text(503, "trouble\n");
            }
        }
        let prefix = || query(request, "starts").unwrap_or("").to_owned();
        let lease_id = || request.path.split('/').nth(2).and_then(|id| id.parse().ok());
        let call = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv") => Some(StoreRequest::List {
                prefix: prefix(),
                after: query(request, "since").map(Into::into),
            }),
            ("GET", "/follow") => query(request, "since")
                .and_then(|since| since.parse().ok())
                .map(|since| StoreRequest::Watch { prefix: prefix(), since }),
            ("POST", "/commit") => {
                serde_json::from_slice(&request.body).ok().map(StoreRequest::Commit)
            }
            ("POST", "/leases") => serde_json::from_slice::<LeaseRequest>(&request.body)
                .ok()
                .map(|lease| StoreRequest::GrantLease { ttl_ms: lease.ttl_ms }),
            ("POST", path) if path.ends_with("/touch") => lease_id().map(StoreRequest::RenewLease),
            ("DELETE", _) => lease_id().map(StoreRequest::RevokeLease),
            _ => None,
        };
        let Some(call) = call else { return Response::text(400, "malformed\n") };
        if self.slow_s.get() > 0.0 {
            sleep(Duration::from_secs_f64(self.slow_s.get() * rand::random::<f64>())).await;
        }
        let is_commit = matches!(&call, StoreRequest::Commit(_));
        if is_commit && rand::random::<f64>() < self.late_writes.get() {
            sleep(Duration::from_secs_f64(2.0 + 10.0 * rand::random::<f64>())).await;
        }
        let outcome = self.store.borrow_mut().call(self.now(), node, &call);
        if let (StoreRequest::Commit(txn), StoreOutcome::Committed(_)) = (&call, &outcome) {
            self.on_commit(node, txn);
        }
        match outcome {
            StoreOutcome::Page(rows) => json(200, &rows),
            StoreOutcome::Changes(events) => json(200, &events),
            StoreOutcome::Compacted => Response::text(410, "too old\n"),
            StoreOutcome::Committed(revision) => {
                json(200, &TransactionResponse { revision, failed: Vec::new() })
            }
            StoreOutcome::Conflict(failed) => {
                json(409, &TransactionResponse { revision: 0, failed })
            }
            StoreOutcome::LeaseGranted(id) => json(200, &GrantedLease { id }),
            StoreOutcome::Acknowledged => Response::json(200, "{}"),
            StoreOutcome::LeaseNotFound => match call {
                StoreRequest::Commit(_) => Response::json(400, r#"{"error":"no such lease"}"#),
                _ => Response::text(404, "no such lease\n"),
            },
            StoreOutcome::RateLimited => Response::text(429, "busy\n"),
            StoreOutcome::Unavailable | StoreOutcome::Unknown => Response::text(503, "trouble\n"),
        }
    }

    fn on_commit(&self, node: usize, txn: &Transaction) {
        for write in &txn.writes {
            let StoreWrite::Put { key, value, .. } = write else { continue };
            if key == keys::LEADER {
                let now = self.now();
                let since = match self.leader.get() {
                    Some((leader, since)) if leader == node => since,
                    _ => now,
                };
                self.leader.set(Some((node, since)));
                self.note(&format!("state: berth-{node} holds {key}"));
            }
            let id = key.strip_prefix(keys::JOB_PREFIX).and_then(|name| name.parse().ok());
            if let (Some(id), Ok(spec)) = (id, serde_json::from_value(value.clone())) {
                self.jobs.borrow_mut().insert(id, spec);
            }
            if key.starts_with(keys::FINAL_STATE_PREFIX) {
                self.note(&format!("state: berth-{node} writes {key} = {value}"));
            }
        }
    }

    fn on_cloud_request(self: &Rc<Self>, node: usize, request: &Request) -> Response {
        let call = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => Some(CloudRequest::ListMachineTypes),
            ("GET", "/machines") => {
                Some(CloudRequest::ListMachines { after: query(request, "since").map(Into::into) })
            }
            ("POST", "/machines") => {
                serde_json::from_slice(&request.body).ok().map(CloudRequest::Rent)
            }
            ("POST", "/machines/delete") => serde_json::from_slice::<MachineNames>(&request.body)
                .ok()
                .map(|names| CloudRequest::Delete(names.machines)),
            _ => None,
        };
        let Some(call) = call else { return Response::text(400, "malformed\n") };
        if let CloudRequest::Delete(names) = &call {
            self.record_deletion(node, names);
        }
        let CloudResponse { outcome, rented, deleted } =
            self.cloud.borrow_mut().call(self.now(), &call);
        for name in deleted {
            self.remove_machine(&name);
        }
        for name in rented {
            self.note(&format!("cloud: berth-{node} rents {name}"));
            let boot_s = self.site.boot_s;
            spawn_local(self.clone().run_worker(name, boot_s));
        }
        match outcome {
            CloudOutcome::Types(MachineTypes { types }) => json(200, &MachineTypes { types }),
            CloudOutcome::Rented(machines) => json(200, &MachineNames { machines }),
            CloudOutcome::List(list) => json(200, &list),
            CloudOutcome::Deleted => Response::json(200, "{}"),
            CloudOutcome::NoCapacity => Response::json(503, r#"{"error":"no capacity"}"#),
            _ => Response::json(503, r#"{"error":"trouble"}"#),
        }
    }

    fn record_deletion(&self, node: usize, names: &[String]) {
        let present = self.present.borrow();
        let machines: Vec<(String, Vec<TaskId>)> = names
            .iter()
            .filter(|name| self.workers.borrow().contains_key(*name))
            .map(|name| {
                let tasks = present.iter().filter(|(_, present)| present.machine == **name);
                (name.clone(), tasks.map(|(task, _)| task.clone()).collect())
            })
            .collect();
        drop(present);
        self.note(&format!(
            "cloud: berth-{node} deletes {names:?}; tasks running there: {:?}; the leader is {:?}",
            machines.iter().flat_map(|(_, tasks)| tasks).collect::<Vec<_>>(),
            self.leader.get().map(|(leader, _)| format!("berth-{leader}"))
        ));
        let leader = self.leader.get();
        self.deletions.borrow_mut().push(Deletion { at: self.now(), node, leader, machines });
    }

    fn rent_before(self: &Rc<Self>, zone: &str, count: u32) {
        let request = CreateMachinesRequest {
            request_id: format!("before-{zone}"),
            machine_type: self.site.machine.name.clone(),
            zone: zone.to_owned(),
            spot: false,
            count,
        };
        let rented = self.cloud.borrow_mut().call(-300.0, &CloudRequest::Rent(request)).rented;
        for name in rented {
            spawn_local(self.clone().run_worker(name, self.site.first_reports_s));
        }
    }

    /// Removes a machine that is gone, with all tasks on it.
    pub fn remove_machine(&self, name: &str) {
        self.workers.borrow_mut().remove(name);
        self.present.borrow_mut().retain(|task, present| {
            let stays = present.machine != name;
            if !stays {
                self.note(&format!("{name}: {task} is lost with the machine"));
            }
            stays
        });
    }

    // ---- workers ----

    fn on_worker_events(&self, machine: &str, events: Vec<WorkerEvent>) {
        for event in events {
            match event {
                WorkerEvent::TaskStarted(task) => self.on_task_started(machine, task),
                WorkerEvent::TaskEnded { task, completed } => {
                    self.note(&format!("{machine}: {task} ends, completed: {completed}"));
                    let mut present = self.present.borrow_mut();
                    if present.get(&task).is_some_and(|present| present.machine == machine) {
                        present.remove(&task);
                    }
                    if completed {
                        let mut completed = self.completed.borrow_mut();
                        completed.entry(task.job.clone()).or_default().insert(task.index);
                    }
                }
                WorkerEvent::StartRefused(task) => {
                    self.note(&format!("{machine}: {task} refused, full"));
                }
                WorkerEvent::GangTaskRunning { .. } => {}
            }
        }
    }

    async fn step_gangs(self: Rc<Self>) {
        loop {
            sleep(STEP).await;
            let events = {
                let mut workers = self.workers.borrow_mut();
                self.gangs.borrow_mut().step(self.now(), &mut workers)
            };
            for (machine, event) in events {
                self.on_worker_events(&machine, vec![event]);
            }
        }
    }

    /// Checks that a job's tasks are in the zones that the job allows.
    fn check_zones(&self, started: &TaskId) {
        let Some(spec) = self.jobs.borrow().get(&started.job).cloned() else { return };
        let cloud = self.cloud.borrow();
        let mut by_zone: BTreeMap<String, u32> = BTreeMap::new();
        for (_, present) in self.present.borrow().iter().filter(|(task, _)| task.job == started.job)
        {
            *by_zone.entry(cloud.machines[&present.machine].zone.clone()).or_default() += 1;
        }
        let most = by_zone.values().copied().max().unwrap_or(0);
        if (spec.single_zone && by_zone.len() > 1) || (spec.spread && most > spec.tasks.div_ceil(2))
        {
            self.violation(format!("wrong_place: {started} starts, the job is in {by_zone:?}"));
        }
    }

    fn on_task_started(&self, machine: &str, task: TaskId) {
        self.note(&format!("{machine}: {task} starts"));
        let now = self.now();
        let present = self.present.borrow().get(&task).cloned();
        if let Some(other) = present.filter(|other| other.machine != machine) {
            self.violation(format!(
                "ran_twice: {task} starts on {machine} while it is on {} since {:.3}",
                other.machine, other.since
            ));
        }
        if let Some(told) = self.told_cancelled.borrow().get(&task.job)
            && now - told > self.site.cancel_s
        {
            self.violation(format!("ran_cancelled: {task} starts, cancelled at {told:.3}"));
        }
        let here = Present { machine: machine.to_owned(), since: now };
        self.present.borrow_mut().insert(task.clone(), here);
        self.check_quotas();
        self.check_zones(&task);
    }

    fn check_quotas(&self) {
        let jobs = self.jobs.borrow();
        for (team, _, cpus_max) in &self.site.teams {
            let present = self.present.borrow();
            let specs = present.keys().filter_map(|task| jobs.get(&task.job));
            let used: f64 = specs.filter(|spec| spec.team == **team).map(|spec| spec.cpus).sum();
            if used > cpus_max + 1e-6 {
                self.violation(format!("quota: {team} uses {used} of {cpus_max} CPUs"));
            }
        }
    }

    /// Checks `ran_cancelled` for the tasks that are on machines.
    pub fn check_cancelled(&self) {
        let now = self.now();
        let told = self.told_cancelled.borrow();
        let mut late = Vec::new();
        for (task, present) in self.present.borrow().iter() {
            if let Some(told) = told.get(&task.job).filter(|told| now - **told > self.site.cancel_s)
            {
                late.push(format!(
                    "ran_cancelled: {task} is on {} at {now:.3}, its user was told at {told:.3}",
                    present.machine
                ));
            }
        }
        for line in late {
            if !self.violations.borrow().iter().any(|known| known[..40] == line[..40]) {
                self.violation(line);
            }
        }
    }

    async fn run_worker(self: Rc<Self>, name: String, boot_s: f64) {
        sleep(Duration::from_secs_f64(boot_s)).await;
        let (listener, port) = listen().await;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if !self.cloud.borrow().present().contains(&name) {
            return;
        }
        let rented = {
            let cloud = self.cloud.borrow();
            let machine = &cloud.machines[&name];
            (machine.zone.clone(), machine.spot)
        };
        let machine = MachineIdentity {
            name: name.clone(),
            machine_type: self.site.machine.name.clone(),
            zone: rented.0,
            spot: rented.1,
        };
        let MachineType { cpus, gpus, memory_gb, .. } = self.site.machine.clone();
        let number: usize = name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let node = number % self.site.nodes;
        let capacity = Resources { cpus, gpus, memory_gb };
        let worker = FakeWorker::new(machine, capacity, self.site.lease_s, self.now(), node);
        self.workers.borrow_mut().insert(name.clone(), worker);
        let direct_server = spawn_local({
            let (world, name) = (self.clone(), name.clone());
            Server::new(listener, Limits::for_connections(100)).run(move |request| {
                let (world, name) = (world.clone(), name.clone());
                async move { world.on_direct_request(&name, addr, &request).await }
            })
        });
        let mut next_at = self.now();
        let mut last_at = f64::NEG_INFINITY;
        let mut connection: Option<(usize, Client)> = None;
        loop {
            sleep(STEP).await;
            let now = self.now();
            let step = {
                let mut workers = self.workers.borrow_mut();
                let Some(worker) = workers.get_mut(&name) else { break };
                worker.step(now)
            };
            self.on_worker_events(&name, step);
            let (node, heartbeat) = {
                let mut workers = self.workers.borrow_mut();
                let Some(worker) = workers.get_mut(&name) else { break };
                if worker.hung {
                    continue;
                }
                let changed = worker.changed
                    && now - last_at >= MIN_REPORT_S
                    && now >= next_at - self.site.report_s;
                if now < next_at && !changed {
                    continue;
                }
                worker.changed = false;
                next_at = now + self.site.report_s * (0.75 + 0.5 * rand::random::<f64>());
                last_at = now;
                let mut heartbeat = worker.heartbeat(now);
                heartbeat.addr = addr.to_string();
                (worker.node, heartbeat)
            };
            if connection.as_ref().is_none_or(|(connected_to, _)| *connected_to != node) {
                connection = Some((node, Client::new(self.addr(node), 1)));
            }
            if let Some((_, client)) = &connection
                && let Some(pause_s) = self.send_report(&name, client, node, &heartbeat, now).await
            {
                next_at = self.now() + pause_s;
            }
        }
        direct_server.abort();
    }

    /// Sends a report. Returns after what time the worker tries the next node, if it must.
    async fn send_report(
        &self,
        name: &str,
        client: &Client,
        node: usize,
        heartbeat: &Heartbeat,
        sent_at: f64,
    ) -> Option<f64> {
        let body = serde_json::to_vec(heartbeat).expect("serialises");
        if rand::random::<f64>() < self.late_reports.get() {
            let (addr, body) = (self.addr(rand::random_range(0..self.site.nodes)), body.clone());
            let after_s = 2.0 + rand::random::<f64>() * self.site.lease_s;
            spawn_local(async move {
                sleep(Duration::from_secs_f64(after_s)).await;
                let copy = Client::new(addr, 0);
                let _ = copy.send("POST", "/checkin", &body, Duration::from_secs(4)).await;
            });
        }
        let is_mute = |w: &FakeWorker| w.outbound_partitioned;
        if self.workers.borrow().get(name).is_some_and(is_mute) {
            sleep(Duration::from_secs(1)).await;
            if let Some(worker) = self.workers.borrow_mut().get_mut(name) {
                worker.node = (node + 1) % self.site.nodes;
            }
            return Some(1.0);
        }
        let reply = client.send("POST", "/checkin", &body, Duration::from_secs(4)).await;
        if self.workers.borrow().get(name).is_some_and(|w| w.inbound_partitioned) {
            sleep(Duration::from_secs(4)).await;
            if let Some(worker) = self.workers.borrow_mut().get_mut(name) {
                worker.node = (node + 1) % self.site.nodes;
            }
            return Some(1.0);
        }
        while self.workers.borrow().get(name).is_some_and(|worker| worker.hung) {
            sleep(STEP).await;
        }
        let next_node = (node + 1) % self.site.nodes;
        let mut events = Vec::new();
        let mut pause_s = None;
        {
            let mut workers = self.workers.borrow_mut();
            let worker = workers.get_mut(name)?;
            match reply {
                // A response that comes later than 4 s is dropped, also after a hang.
                Ok(reply) if reply.status == 200 && self.now() - sent_at < 4.0 => {
                    if let Ok(response) = serde_json::from_slice::<HeartbeatResponse>(&reply.body) {
                        let find_spec = |task: &TaskId| self.jobs.borrow().get(&task.job).cloned();
                        events = worker.handle_heartbeat_response(
                            self.now(),
                            heartbeat.incarnation,
                            sent_at,
                            &response,
                            &find_spec,
                        );
                    }
                }
                Ok(reply) if reply.status == 421 => {
                    let redirect = serde_json::from_slice::<Redirect>(&reply.body).ok();
                    let target: Option<usize> = redirect
                        .and_then(|r| r.controller?.strip_prefix("berth-")?.parse().ok())
                        .filter(|target| *target != node && *target < self.site.nodes);
                    worker.node = target.unwrap_or(next_node);
                    pause_s = Some(if target.is_some() { 0.25 } else { 1.0 });
                }
                _ => {
                    worker.node = next_node;
                    pause_s = Some(1.0);
                }
            }
        }
        self.on_worker_events(name, events);
        pause_s
    }

    async fn on_direct_request(&self, name: &str, addr: SocketAddr, request: &Request) -> Response {
        if request.path == "/do" && rand::random::<f64>() < self.late_commands.get() {
            sleep(Duration::from_secs_f64(2.0 + 14.0 * rand::random::<f64>())).await;
        }
        while self.workers.borrow().get(name).is_some_and(|w| w.hung || w.inbound_partitioned) {
            sleep(STEP).await;
        }
        let mut status = 200;
        let mut events = Vec::new();
        let heartbeat = {
            let mut workers = self.workers.borrow_mut();
            let Some(worker) = workers.get_mut(name) else { return Response::text(503, "gone\n") };
            if request.path == "/do" {
                let Ok(direct) = serde_json::from_slice::<DirectCommands>(&request.body) else {
                    return Response::text(400, "malformed\n");
                };
                let find_spec = |task: &TaskId| self.jobs.borrow().get(&task.job).cloned();
                let (executed, started) =
                    worker.handle_direct_commands(self.now(), &direct, &find_spec);
                events = started;
                status = if executed { 200 } else { 409 };
            }
            let mut heartbeat = worker.heartbeat(self.now());
            heartbeat.addr = addr.to_string();
            heartbeat
        };
        self.on_worker_events(name, events);
        json(status, &heartbeat)
    }

    /// Makes a machine hang or go on.
    pub fn hang(&self, machine: &str, hung: bool) {
        if let Some(worker) = self.workers.borrow_mut().get_mut(machine) {
            worker.hung = hung;
            self.note(&format!("{machine} hangs: {hung}"));
        }
    }

    /// Makes a machine deaf (answers and commands to it are lost) or mute (it reaches nobody).
    pub fn cut_machine(&self, machine: &str, deaf: bool, mute: bool) {
        if let Some(worker) = self.workers.borrow_mut().get_mut(machine) {
            worker.inbound_partitioned = deaf;
            worker.outbound_partitioned = mute;
            self.note(&format!("{machine} is deaf: {deaf}, mute: {mute}"));
        }
    }

    /// Restarts a machine within an instant: its worker begins again, with session 1 as the pages
    /// say, and has no tasks.
    pub fn restart_machine(&self, machine: &str) {
        let events = self.workers.borrow_mut().get_mut(machine).map(|worker| {
            (worker.incarnation, worker.sequence, worker.token) = (1, 0, 0);
            worker.lease_renewed_at = self.now();
            worker.changed = true;
            worker.kill_all()
        });
        if let Some(events) = events {
            self.note(&format!("{machine} restarts"));
            self.on_worker_events(machine, events);
        }
    }

    /// Begins or ends an outage of the state service.
    pub fn outage(&self, down: bool) {
        self.store.borrow_mut().set_outage(self.now(), down);
        self.note(&format!("state service down: {down}"));
    }

    /// Makes the state service refuse this controller alone.
    pub fn refuse(&self, node: usize, refused: bool) {
        let nodes = &mut self.store.borrow_mut().refused_nodes;
        nodes.retain(|other| *other != node);
        nodes.extend(refused.then_some(node));
        self.note(&format!("state service refuses berth-{node}: {refused}"));
    }

    /// Ends a machine with all that is on it, as the cloud takes it.
    pub fn take_machine(&self, machine: &str) {
        let taken = self.cloud.borrow_mut().remove_machine(self.now(), machine);
        if taken {
            self.note(&format!("{machine} is taken"));
            self.remove_machine(machine);
        }
    }

    /// The numbers of a job's tasks that run, and that have completed.
    pub fn progress(&self, job: &JobId) -> (usize, usize) {
        let running = self.present.borrow().keys().filter(|task| task.job == *job).count();
        (running, self.completed.borrow().get(job).map_or(0, BTreeSet::len))
    }

    // ---- users ----

    fn pick_node(&self) -> Option<usize> {
        let nodes = self.site.nodes;
        let first = self.next_node.get();
        let node =
            (0..nodes).map(|i| (first + i) % nodes).find(|node| self.healthy[*node].get())?;
        self.next_node.set(node + 1);
        Some(node)
    }

    /// Sends a request of a user to a healthy node, or to `node`.
    pub async fn ask(
        &self,
        node: Option<usize>,
        method: &str,
        path: &str,
        body: &[u8],
        timeout_s: f64,
    ) -> Option<(usize, u16, Option<JobState>)> {
        let node = node.or_else(|| self.pick_node())?;
        let client = Client::new(self.addr(node), 0);
        let reply = client.send(method, path, body, Duration::from_secs_f64(timeout_s)).await;
        let (status, state) = match &reply {
            Ok(reply) => {
                let state = serde_json::from_slice::<JobStatus>(&reply.body).ok();
                (reply.status, state.map(|state| state.state))
            }
            Err(_) => (0, None),
        };
        self.note(&format!("user: {method} {path} at berth-{node}: {status} {state:?}"));
        Some((node, status, state))
    }

    /// Submits a job, again and again until it is accepted, for 60 s.
    pub async fn submit(&self, spec: &JobSpec) -> bool {
        let body = serde_json::to_vec(spec).expect("serialises");
        let until = self.now() + 60.0;
        while self.now() < until {
            if let Some((_, 200 | 201, _)) = self.ask(None, "POST", "/api/jobs", &body, 5.0).await {
                return true;
            }
            sleep(Duration::from_secs(1)).await;
        }
        false
    }

    /// Cancels a job, again and again until it is confirmed, for 60 s. Returns the state.
    pub async fn cancel(&self, job: &JobId) -> Option<JobState> {
        let until = self.now() + 60.0;
        let path = format!("/api/jobs/{job}/cancel");
        while self.now() < until {
            if let Some((_, 200, Some(state))) = self.ask(None, "POST", &path, &[], 5.0).await {
                if state == JobState::Cancelled {
                    self.told_cancelled.borrow_mut().entry(job.clone()).or_insert(self.now());
                }
                return Some(state);
            }
            sleep(Duration::from_secs(1)).await;
        }
        None
    }

    /// Polls a job until it is done, for `within_s`.
    pub async fn wait_done(&self, job: &JobId, within_s: f64) -> bool {
        let until = self.now() + within_s;
        let path = format!("/api/jobs/{job}");
        while self.now() < until {
            if let Some((_, 200, Some(JobState::Done))) =
                self.ask(None, "GET", &path, &[], 2.0).await
            {
                return true;
            }
            sleep(Duration::from_millis(500)).await;
        }
        false
    }
}
