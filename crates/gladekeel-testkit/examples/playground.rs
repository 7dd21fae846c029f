//! Runs a fake store, a fake cloud and its workers on loopback, and writes settings files for three
//! controller nodes, so that gladekeel can be tried without any other service.
//!
//! Machines boot in five seconds, and fetching an image takes a second per GB. All data is lost
//! when the playground stops.
//!
//! `playground MACHINES TASKS_PER_SECOND` offers the given number of machines and keeps submitting
//! jobs with the given number of tasks per second, to profile a controller of a large deployment.

use gladekeel_controller::{
    cloud_api::{CloudOutcome, CloudRequest},
    keys,
};
use gladekeel_http::{Client, Limits, Request, Response, Server};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_testkit::{
    scenario::example_settings,
    stand_ins::{
        cloud::{CloudResponse, FakeCloud},
        gang::GangRuntime,
        resources::Resources,
        store::{FakeStore, StoreLimits},
        worker::{FakeWorker, MachineIdentity},
    },
};
use gladekeel_wire::{
    JobId, TaskId,
    cloud::{MachineNames, MachineType, MachineTypes},
    job::JobSpec,
    store::{GrantedLease, LeaseRequest, Transaction, TransactionResponse, Write},
    worker::{DirectCommands, Heartbeat, HeartbeatResponse, Redirect},
};
use serde::Serialize;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    error::Error,
    fs,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, task::spawn_local, time::sleep};

/// Port of the store.
const STORE_PORT: u16 = 12379;
/// Port of the cloud.
const CLOUD_PORT: u16 = 18443;
/// Ports on which the controllers serve users and workers.
const NODE_PORTS: [u16; 3] = [18080, 18081, 18082];
/// Ports on which the controllers receive frames from their peers.
const PEER_PORTS: [u16; 3] = [18090, 18091, 18092];
/// Time that a machine takes to boot.
const BOOT_TIME: Duration = Duration::from_secs(5);
/// Time between two steps of a worker, and of the gangs.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two heartbeats of a worker, with up to `DEFAULT_MACHINES` machines.
const HEARTBEAT_INTERVAL_S: f64 = 3.0;
/// Minimum time between two heartbeats of a worker whose state has changed.
const MIN_HEARTBEAT_INTERVAL_S: f64 = 0.5;
/// Length of a worker's lease.
const LEASE_S: f64 = 30.0;
/// Longest time until a task of a gang detects that another task of the gang was lost.
const GANG_EXIT_DETECTION_S: f64 = 4.0;
/// Time between two heartbeats of a worker, with more than `DEFAULT_MACHINES` machines.
const LARGE_HEARTBEAT_INTERVAL_S: f64 = 10.0;
/// Number of machines that the playground offers without an argument.
const DEFAULT_MACHINES: u32 = 8;
/// Number of tasks of each job that the playground submits.
const TASKS_PER_JOB: u32 = 50;
/// Time between two polls of a job that the playground has submitted.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The command line arguments of the playground.
#[derive(Debug, Clone, Copy)]
struct Options {
    /// Number of machines that the cloud offers.
    machines: u32,
    /// Number of tasks submitted per second; 0 to submit no jobs.
    tasks_per_s: f64,
}

impl Options {
    fn from_arguments() -> Result<Options, Box<dyn Error>> {
        let mut arguments = std::env::args().skip(1);
        let machines = arguments.next().map_or(Ok(DEFAULT_MACHINES), |text| text.parse())?;
        let tasks_per_s = arguments.next().map_or(Ok(0.0), |text| text.parse())?;
        Ok(Options { machines, tasks_per_s })
    }

    /// Time between two heartbeats of a worker in seconds.
    fn heartbeat_interval_s(self) -> f64 {
        if self.machines > DEFAULT_MACHINES {
            LARGE_HEARTBEAT_INTERVAL_S
        } else {
            HEARTBEAT_INTERVAL_S
        }
    }

    /// Limit on the sockets of a controller.
    fn max_connections(self) -> u32 {
        1000 + 2 * self.machines
    }
}

/// The fake services and workers, and the state that their request handlers share.
struct Playground {
    options: Options,
    started_at: Instant,
    store: RefCell<FakeStore>,
    cloud: RefCell<FakeCloud>,
    /// Workers of the machines that are up, by machine name.
    workers: RefCell<BTreeMap<String, FakeWorker>>,
    gangs: RefCell<GangRuntime>,
    /// Specifications of the stored jobs, which workers look up here without a request to the store.
    jobs: RefCell<BTreeMap<JobId, JobSpec>>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = Options::from_arguments()?;
    let dir = Path::new("target/playground");
    fs::create_dir_all(dir)?;
    for node in 0..NODE_PORTS.len() {
        fs::write(dir.join(format!("node-{node}.toml")), settings(node, options))?;
    }
    fs::write(dir.join("job.json"), JOB_JSON)?;
    fs::write(dir.join("gang.json"), GANG_JSON)?;
    println!("settings and two job files written to {}; stop with Ctrl-C", dir.display());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(options))
}

/// An example array job, and the template of the jobs that the playground submits.
const JOB_JSON: &str = r#"{"name_id":"job-000001","rig":"batch","crew":"red","build":"array",
 "urgency":"normal","pieces":12,"vcpus":4.0,"gpus":0.0,"ram_gb":4.0,"pattern":"img",
 "size_gb":1.0,"one_zone":false,"scatter":false,"driftwood":true,
 "reckon_s":10.0,"mark_s":0.0,"stow_s":0.0}
"#;

/// An example gang.
const GANG_JSON: &str = r#"{"name_id":"job-000002","rig":"batch","crew":"red","build":"ensemble",
 "urgency":"normal","pieces":12,"vcpus":4.0,"gpus":0.0,"ram_gb":4.0,"pattern":"img",
 "size_gb":1.0,"one_zone":true,"scatter":false,"driftwood":true,
 "reckon_s":10.0,"mark_s":5.0,"stow_s":1.0}
"#;

/// Returns the text of a controller node's settings file.
fn settings(node: usize, options: Options) -> String {
    let heartbeat_interval_s = options.heartbeat_interval_s();
    let max_connections = options.max_connections();
    let (cpus, cpus_max) = (options.machines * 8, options.machines * 32);
    let mut text = format!(
        "node = \"node-{node}\"\nsite = \"a\"\nbind = \"127.0.0.1:{}\"\nmesh_addr = \"127.0.0.1:{}\"\n",
        NODE_PORTS[node], PEER_PORTS[node]
    );
    for other in (0..NODE_PORTS.len()).filter(|other| *other != node) {
        text += &format!(
            "\n[[siblings]]\nnode = \"node-{other}\"\nsite = \"a\"\npeer_addr = \"127.0.0.1:{}\"\n",
            PEER_PORTS[other]
        );
    }
    text + &format!(
        r#"
[services]
cloud = "127.0.0.1:{CLOUD_PORT}"
state = "127.0.0.1:{STORE_PORT}"

[deployment]
count = 3
zones = ["a"]

[[deployment.teams]]
name = "red"
cpus = {cpus}.0
cpus_max = {cpus_max}.0

[deployment.workers]
report_s = {heartbeat_interval_s:.1}
lease_s = {LEASE_S:.1}
gang_peer_s = {GANG_EXIT_DETECTION_S:.1}
cancel_s = 50.0

[deployment.state]
rps = 120.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8

[deployment.cloud]
rps = 6.0
list_lag_s = 4.0

[deployment.limits]
cpu_share = 0.2
ram_mb = 200.0
max_connections = {max_connections}
"#
    )
}

/// Serves the store and the cloud until the process is stopped.
async fn serve(options: Options) -> Result<(), Box<dyn Error>> {
    let params = example_settings(0, 3).deployment;
    let types = vec![MachineType {
        name: "m32".into(),
        cpus: 32.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 10.0,
        price: 2.0,
        spot_price: Some(0.7),
        boot_s: 5.0,
        zones: vec!["a".into()],
    }];
    let capacity = BTreeMap::from([
        (("a".into(), false), options.machines / 2),
        (("a".into(), true), options.machines / 2),
    ]);
    let playground = Rc::new(Playground {
        options,
        started_at: Instant::now(),
        store: RefCell::new(FakeStore::new(StoreLimits {
            rps: params.store.rps,
            write_rps: params.store.write_rps,
            txn_ops: params.store.txn_ops,
            value: (params.store.value_kb * 1024.0) as usize,
        })),
        cloud: RefCell::new(FakeCloud::new(types, capacity, 4.0)),
        workers: RefCell::default(),
        gangs: RefCell::new(GangRuntime::new(GANG_EXIT_DETECTION_S)),
        jobs: RefCell::default(),
    });
    let limits = Limits::for_connections(1000);
    let cloud = Server::new(TcpListener::bind(("127.0.0.1", CLOUD_PORT)).await?, limits);
    let store = Server::new(TcpListener::bind(("127.0.0.1", STORE_PORT)).await?, limits);
    spawn_local(playground.clone().step_gangs());
    if options.tasks_per_s > 0.0 {
        spawn_local(submit_jobs(options.tasks_per_s));
    }
    let (for_cloud, for_store) = (playground.clone(), playground);
    spawn_local(cloud.run(move |request| {
        let playground = for_cloud.clone();
        async move { playground.handle_cloud_request(&request) }
    }));
    store
        .run(move |request| {
            let playground = for_store.clone();
            async move { playground.handle_store_request(&request) }
        })
        .await;
    Ok(())
}

/// Submits jobs to the controllers in turn, for as long as the playground runs, and polls each job.
async fn submit_jobs(tasks_per_s: f64) {
    let interval = Duration::from_secs_f64(f64::from(TASKS_PER_JOB) / tasks_per_s);
    for number in 0_usize.. {
        sleep(interval).await;
        spawn_local(submit_and_poll_job(number));
    }
}

/// Submits a job, retrying until a controller accepts it, and polls the job until it is done.
async fn submit_and_poll_job(number: usize) {
    let client =
        Client::new(SocketAddr::from(([127, 0, 0, 1], NODE_PORTS[number % NODE_PORTS.len()])), 1);
    let body = JOB_JSON
        .replace("job-000001", &format!("job-9{number:05}"))
        .replace("\"pieces\":12", &format!("\"pieces\":{TASKS_PER_JOB}"))
        .replace("\"vcpus\":4.0", "\"vcpus\":16.0")
        .replace("\"reckon_s\":10.0", "\"reckon_s\":40.0")
        .replace("\"img\"", &format!("\"img-{}\"", number % 4));
    let timeout = Duration::from_secs(5);
    while !client
        .send("POST", "/api/jobs", body.as_bytes(), timeout)
        .await
        .is_ok_and(|reply| reply.status < 300)
    {
        sleep(Duration::from_secs(1)).await;
    }
    loop {
        sleep(POLL_INTERVAL).await;
        let path = format!("/api/jobs/job-9{number:05}");
        let Ok(reply) = client.send("GET", &path, &[], timeout).await else { continue };
        if String::from_utf8_lossy(&reply.body).contains("\"done\",") {
            return;
        }
    }
}

/// Returns a response with a JSON body.
fn json<T: Serialize>(status: u16, body: &T) -> Response {
    Response::json(status, serde_json::to_vec(body).unwrap_or_default())
}

/// Returns the value of a query parameter; `None` if the request does not have the parameter.
fn query_parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|pair| pair.0 == name)
        .map(|pair| pair.1)
}

impl Playground {
    /// Seconds since the playground was started.
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Advances the gangs, whose tasks start, stop and fail together, for as long as the playground
    /// runs.
    async fn step_gangs(self: Rc<Self>) {
        loop {
            sleep(STEP_INTERVAL).await;
            let mut workers = self.workers.borrow_mut();
            self.gangs.borrow_mut().step(self.now(), &mut workers);
        }
    }

    /// Executes a request in the store and returns the response.
    fn handle_store_request(&self, request: &Request) -> Response {
        let prefix = || query_parameter(request, "starts").unwrap_or("").to_owned();
        let lease_id = || request.path.split('/').nth(2).and_then(|id| id.parse().ok());
        let call = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv") => Some(StoreRequest::List {
                prefix: prefix(),
                after: query_parameter(request, "since").map(Into::into),
            }),
            ("GET", "/follow") => query_parameter(request, "since")
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
        let outcome = self.store.borrow_mut().call(self.now(), 0, &call);
        if let (StoreRequest::Commit(txn), StoreOutcome::Committed(_)) = (&call, &outcome) {
            self.record_jobs(txn);
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
            StoreOutcome::LeaseNotFound => Response::text(404, "no such lease\n"),
            StoreOutcome::RateLimited => Response::text(429, "busy\n"),
            StoreOutcome::Unavailable | StoreOutcome::Unknown => Response::text(503, "trouble\n"),
        }
    }

    /// Executes a request in the cloud, boots rented machines, removes deleted ones, and returns
    /// the response.
    fn handle_cloud_request(self: &Rc<Self>, request: &Request) -> Response {
        let call = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => Some(CloudRequest::ListMachineTypes),
            ("GET", "/machines") => Some(CloudRequest::ListMachines {
                after: query_parameter(request, "since").map(Into::into),
            }),
            ("POST", "/machines") => {
                serde_json::from_slice(&request.body).ok().map(CloudRequest::Rent)
            }
            ("POST", "/machines/delete") => serde_json::from_slice::<MachineNames>(&request.body)
                .ok()
                .map(|names| CloudRequest::Delete(names.machines)),
            _ => None,
        };
        let Some(call) = call else { return Response::text(400, "malformed\n") };
        let CloudResponse { outcome, rented, deleted } =
            self.cloud.borrow_mut().call(self.now(), &call);
        for name in deleted {
            println!("machine deleted: {name}");
            self.workers.borrow_mut().remove(&name);
        }
        for name in rented {
            spawn_local(self.clone().run_worker(name));
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

    /// Records the specifications of the jobs that a transaction has stored.
    fn record_jobs(&self, txn: &Transaction) {
        for write in &txn.writes {
            let Write::Put { key, value, .. } = write else { continue };
            let id = key.strip_prefix(keys::JOB_PREFIX).and_then(|name| name.parse().ok());
            if let (Some(id), Ok(spec)) = (id, serde_json::from_value(value.clone())) {
                self.jobs.borrow_mut().insert(id, spec);
            }
        }
    }

    /// Returns the specification of a task's job; `None` if the job has not been stored.
    fn spec(&self, task: &TaskId) -> Option<JobSpec> {
        self.jobs.borrow().get(&task.job).cloned()
    }

    /// Boots a machine and runs its worker until the machine is deleted.
    async fn run_worker(self: Rc<Self>, name: String) {
        sleep(BOOT_TIME).await;
        let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
        let Ok(addr) = listener.local_addr() else { return };
        if !self.cloud.borrow().present().contains(&name) {
            return;
        }
        let spot = self.cloud.borrow().machines[&name].spot;
        let machine = MachineIdentity {
            name: name.clone(),
            machine_type: "m32".into(),
            zone: "a".into(),
            spot,
        };
        let capacity = Resources { cpus: 32.0, gpus: 0.0, memory_gb: 64.0 };
        let worker = FakeWorker::new(machine, capacity, LEASE_S, self.now(), 0);
        self.workers.borrow_mut().insert(name.clone(), worker);
        println!("machine booted: {name}, worker at {addr}");
        let direct_server = spawn_local({
            let (playground, name) = (self.clone(), name.clone());
            Server::new(listener, Limits::for_connections(100)).run(move |request| {
                let (playground, name) = (playground.clone(), name.clone());
                async move { playground.handle_direct_request(&name, addr, &request) }
            })
        });
        let mut next_heartbeat_at = self.now();
        let mut connection: Option<(usize, Client)> = None;
        loop {
            sleep(STEP_INTERVAL).await;
            let now = self.now();
            let (node, heartbeat) = {
                let mut workers = self.workers.borrow_mut();
                let Some(worker) = workers.get_mut(&name) else { break };
                worker.step(now);
                let interval_s = self.options.heartbeat_interval_s();
                let due = now >= next_heartbeat_at
                    || (worker.changed
                        && now >= next_heartbeat_at - interval_s + MIN_HEARTBEAT_INTERVAL_S);
                if !due {
                    continue;
                }
                worker.changed = false;
                next_heartbeat_at = now + interval_s;
                let mut heartbeat = worker.heartbeat(now);
                heartbeat.addr = addr.to_string();
                (worker.node, heartbeat)
            };
            // A worker reuses its connection until it switches to another controller.
            if connection.as_ref().is_none_or(|(connected_to, _)| *connected_to != node) {
                let addr = SocketAddr::from(([127, 0, 0, 1], NODE_PORTS[node]));
                connection = Some((node, Client::new(addr, 1)));
            }
            if let Some((_, client)) = &connection {
                self.send_heartbeat(&name, client, node, &heartbeat, now).await;
            }
        }
        direct_server.abort();
    }

    /// Sends a heartbeat of a worker to a controller and handles the response: the worker executes
    /// the commands, follows a redirect, or switches to the next controller.
    async fn send_heartbeat(
        &self,
        name: &str,
        client: &Client,
        node: usize,
        heartbeat: &Heartbeat,
        sent_at: f64,
    ) {
        let body = serde_json::to_vec(heartbeat).unwrap_or_default();
        let reply = client.send("POST", "/checkin", &body, Duration::from_secs(4)).await;
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(name) else { return };
        match reply {
            Ok(reply) if reply.status == 200 => {
                if let Ok(response) = serde_json::from_slice::<HeartbeatResponse>(&reply.body) {
                    let find_spec = |task: &TaskId| self.spec(task);
                    worker.handle_heartbeat_response(
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
                let target =
                    redirect.and_then(|r| r.controller?.strip_prefix("node-")?.parse().ok());
                worker.node = target.unwrap_or((node + 1) % NODE_PORTS.len()) % NODE_PORTS.len();
                worker.changed = true;
            }
            _ => worker.node = (node + 1) % NODE_PORTS.len(),
        }
    }

    /// Executes a direct request, which a controller sends outside heartbeat responses, on a worker
    /// and returns the response.
    fn handle_direct_request(&self, name: &str, addr: SocketAddr, request: &Request) -> Response {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(name) else { return Response::text(503, "gone\n") };
        let mut status = 200;
        if request.path == "/do" {
            let Ok(direct) = serde_json::from_slice::<DirectCommands>(&request.body) else {
                return Response::text(400, "malformed\n");
            };
            let find_spec = |task: &TaskId| self.spec(task);
            let (executed, _) = worker.handle_direct_commands(self.now(), &direct, &find_spec);
            status = if executed { 200 } else { 409 };
        }
        let mut heartbeat = worker.heartbeat(self.now());
        heartbeat.addr = addr.to_string();
        json(status, &heartbeat)
    }
}
