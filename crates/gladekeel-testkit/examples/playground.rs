//! The fakes on loopback: a store, a cloud and its workers, and settings
//! files for three controller nodes, to try gladekeel without anything else.
//!
//! Machines boot in five seconds, an image takes a second for each GB. Nothing is kept.
//!
//! `playground MACHINES TASKS_A_SECOND` offers so many machines and keeps submitting jobs,
//! to see what a controller of a large deployment does under a profiler.

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

const STATE: u16 = 12379;
const CLOUD: u16 = 18443;
const NODES: [u16; 3] = [18080, 18081, 18082];
const MESH: [u16; 3] = [18090, 18091, 18092];
/// Time that a machine takes to boot.
const BOOT: Duration = Duration::from_secs(5);
/// Time between two steps of the workers.
const STEP: Duration = Duration::from_millis(100);
/// Time between two reports of a worker.
const REPORT_S: f64 = 3.0;
/// Least time between two reports of a worker.
const CHANGE_REPORT_S: f64 = 0.5;
/// Length of a worker's lease.
const LEASE_S: f64 = 30.0;
/// Within this time the tasks of a gang notice that one of them is gone.
const GANG_PEER_S: f64 = 4.0;
/// Time between two reports of a worker when there are many.
const MANY_REPORT_S: f64 = 10.0;
/// Machines that the playground offers if nothing is said.
const FEW_MACHINES: u32 = 8;
/// Tasks of a job that the playground submits by itself.
const LOAD_TASKS: u32 = 50;
/// Time between two polls of a user.
const POLL: Duration = Duration::from_secs(5);

/// How large the playground is, by its arguments.
#[derive(Debug, Clone, Copy)]
struct Size {
    machines: u32,
    tasks_a_second: f64,
}

impl Size {
    fn from_arguments() -> Result<Size, Box<dyn Error>> {
        let mut arguments = std::env::args().skip(1);
        let machines = arguments.next().map_or(Ok(FEW_MACHINES), |text| text.parse())?;
        let tasks_a_second = arguments.next().map_or(Ok(0.0), |text| text.parse())?;
        Ok(Size { machines, tasks_a_second })
    }

    fn report_s(self) -> f64 {
        if self.machines > FEW_MACHINES { MANY_REPORT_S } else { REPORT_S }
    }

    /// Sockets of a controller.
    fn max_connections(self) -> u32 {
        1000 + 2 * self.machines
    }
}

struct Playground {
    size: Size,
    start: Instant,
    state: RefCell<FakeStore>,
    cloud: RefCell<FakeCloud>,
    workers: RefCell<BTreeMap<String, FakeWorker>>,
    gangs: RefCell<GangRuntime>,
    /// Jobs that were submitted: workers fetch descriptions without asking the store.
    jobs: RefCell<BTreeMap<JobId, JobSpec>>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let size = Size::from_arguments()?;
    let dir = Path::new("target/playground");
    fs::create_dir_all(dir)?;
    for node in 0..NODES.len() {
        fs::write(dir.join(format!("node-{node}.toml")), settings(node, size))?;
    }
    fs::write(dir.join("job.json"), JOB)?;
    fs::write(dir.join("gang.json"), GANG)?;
    println!("settings and two jobs are in {}; stop with Ctrl-C", dir.display());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(size))
}

const JOB: &str = r#"{"name_id":"job-000001","rig":"batch","crew":"red","build":"array",
 "urgency":"normal","pieces":12,"vcpus":4.0,"gpus":0.0,"ram_gb":4.0,"pattern":"img",
 "size_gb":1.0,"one_zone":false,"scatter":false,"driftwood":true,
 "reckon_s":10.0,"mark_s":0.0,"stow_s":0.0}
"#;

const GANG: &str = r#"{"name_id":"job-000002","rig":"batch","crew":"red","build":"ensemble",
 "urgency":"normal","pieces":12,"vcpus":4.0,"gpus":0.0,"ram_gb":4.0,"pattern":"img",
 "size_gb":1.0,"one_zone":true,"scatter":false,"driftwood":true,
 "reckon_s":10.0,"mark_s":5.0,"stow_s":1.0}
"#;

fn settings(node: usize, size: Size) -> String {
    let (report_s, max_connections) = (size.report_s(), size.max_connections());
    let (cpus, cpus_max) = (size.machines * 8, size.machines * 32);
    let mut text = format!(
        "node = \"node-{node}\"\nsite = \"a\"\nbind = \"127.0.0.1:{}\"\nmesh_addr = \"127.0.0.1:{}\"\n",
        NODES[node], MESH[node]
    );
    for other in (0..NODES.len()).filter(|other| *other != node) {
        text += &format!(
            "\n[[siblings]]\nnode = \"node-{other}\"\nsite = \"a\"\npeer_addr = \"127.0.0.1:{}\"\n",
            MESH[other]
        );
    }
    text + &format!(
        r#"
[services]
cloud = "127.0.0.1:{CLOUD}"
state = "127.0.0.1:{STATE}"

[deployment]
count = 3
zones = ["a"]

[[deployment.teams]]
name = "red"
cpus = {cpus}.0
cpus_max = {cpus_max}.0

[deployment.workers]
report_s = {report_s:.1}
lease_s = {LEASE_S:.1}
gang_peer_s = {GANG_PEER_S:.1}
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

async fn serve(size: Size) -> Result<(), Box<dyn Error>> {
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
        (("a".into(), false), size.machines / 2),
        (("a".into(), true), size.machines / 2),
    ]);
    let play = Rc::new(Playground {
        size,
        start: Instant::now(),
        state: RefCell::new(FakeStore::new(StoreLimits {
            rps: params.store.rps,
            write_rps: params.store.write_rps,
            txn_ops: params.store.txn_ops,
            value: (params.store.value_kb * 1024.0) as usize,
        })),
        cloud: RefCell::new(FakeCloud::new(types, capacity, 4.0)),
        workers: RefCell::default(),
        gangs: RefCell::new(GangRuntime::new(GANG_PEER_S)),
        jobs: RefCell::default(),
    });
    let limits = Limits::for_connections(1000);
    let cloud = Server::new(TcpListener::bind(("127.0.0.1", CLOUD)).await?, limits);
    let state = Server::new(TcpListener::bind(("127.0.0.1", STATE)).await?, limits);
    spawn_local(play.clone().step_gangs());
    if size.tasks_a_second > 0.0 {
        spawn_local(submit_jobs(size.tasks_a_second));
    }
    let (a, b) = (play.clone(), play);
    spawn_local(cloud.run(move |request| {
        let play = a.clone();
        async move { play.answer_cloud(&request) }
    }));
    state
        .run(move |request| {
            let play = b.clone();
            async move { play.answer_state(&request) }
        })
        .await;
    Ok(())
}

/// Submits jobs for as long as the playground runs, at all controllers in turn, and polls.
async fn submit_jobs(tasks_a_second: f64) {
    let pause = Duration::from_secs_f64(f64::from(LOAD_TASKS) / tasks_a_second);
    for number in 0_usize.. {
        sleep(pause).await;
        spawn_local(follow_job(number));
    }
}

/// Submits one job and polls until it is done.
async fn follow_job(number: usize) {
    let client = Client::new(SocketAddr::from(([127, 0, 0, 1], NODES[number % NODES.len()])), 1);
    let body = JOB
        .replace("job-000001", &format!("job-9{number:05}"))
        .replace("\"pieces\":12", &format!("\"pieces\":{LOAD_TASKS}"))
        .replace("\"vcpus\":4.0", "\"vcpus\":16.0")
        .replace("\"reckon_s\":10.0", "\"reckon_s\":40.0")
        .replace("\"img\"", &format!("\"img-{}\"", number % 4));
    let limit = Duration::from_secs(5);
    while !client
        .send("POST", "/api/jobs", body.as_bytes(), limit)
        .await
        .is_ok_and(|reply| reply.status < 300)
    {
        sleep(Duration::from_secs(1)).await;
    }
    loop {
        sleep(POLL).await;
        let path = format!("/api/jobs/job-9{number:05}");
        let Ok(reply) = client.send("GET", &path, &[], limit).await else { continue };
        if String::from_utf8_lossy(&reply.body).contains("\"done\",") {
            return;
        }
    }
}

fn json<T: Serialize>(status: u16, body: &T) -> Response {
    Response::json(status, serde_json::to_vec(body).unwrap_or_default())
}

fn query<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|p| p.0 == name)
        .map(|p| p.1)
}

impl Playground {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Lets the tasks of gangs meet, run and end together.
    async fn step_gangs(self: Rc<Self>) {
        loop {
            sleep(STEP).await;
            let mut workers = self.workers.borrow_mut();
            self.gangs.borrow_mut().step(self.now(), &mut workers);
        }
    }

    fn answer_state(&self, request: &Request) -> Response {
        let prefix = || query(request, "starts").unwrap_or("").to_owned();
        let lease = || request.path.split('/').nth(2).and_then(|id| id.parse().ok());
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
            ("POST", path) if path.ends_with("/touch") => lease().map(StoreRequest::RenewLease),
            ("DELETE", _) => lease().map(StoreRequest::RevokeLease),
            _ => None,
        };
        let Some(call) = call else { return Response::text(400, "malformed\n") };
        let outcome = self.state.borrow_mut().call(self.now(), 0, &call);
        if let (StoreRequest::Commit(txn), StoreOutcome::Committed(_)) = (&call, &outcome) {
            self.keep_jobs(txn);
        }
        match outcome {
            StoreOutcome::Page(rows) => json(200, &rows),
            StoreOutcome::Watched(events) => json(200, &events),
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

    fn answer_cloud(self: &Rc<Self>, request: &Request) -> Response {
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
        let CloudResponse { outcome, rented, deleted } =
            self.cloud.borrow_mut().call(self.now(), &call);
        for name in deleted {
            println!("{name} is gone");
            self.workers.borrow_mut().remove(&name);
        }
        for name in rented {
            spawn_local(self.clone().work(name));
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

    /// Keeps the descriptions of jobs that a transaction has stored.
    fn keep_jobs(&self, txn: &Transaction) {
        for write in &txn.writes {
            let Write::Put { key, value, .. } = write else { continue };
            let id = key.strip_prefix(keys::JOB_PREFIX).and_then(|name| name.parse().ok());
            if let (Some(id), Ok(spec)) = (id, serde_json::from_value(value.clone())) {
                self.jobs.borrow_mut().insert(id, spec);
            }
        }
    }

    fn spec(&self, task: &TaskId) -> Option<JobSpec> {
        self.jobs.borrow().get(&task.job).cloned()
    }

    /// Boots a machine and runs its worker until the machine is gone.
    async fn work(self: Rc<Self>, name: String) {
        sleep(BOOT).await;
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
        println!("{name} is up at {addr}");
        let direct = spawn_local({
            let (play, name) = (self.clone(), name.clone());
            Server::new(listener, Limits::for_connections(100)).run(move |request| {
                let (play, name) = (play.clone(), name.clone());
                async move { play.answer_direct(&name, addr, &request) }
            })
        });
        let mut next = self.now();
        let mut reports_to: Option<(usize, Client)> = None;
        loop {
            sleep(STEP).await;
            let now = self.now();
            let (node, heartbeat) = {
                let mut workers = self.workers.borrow_mut();
                let Some(worker) = workers.get_mut(&name) else { break };
                worker.step(now);
                let due = now >= next
                    || (worker.changed && now >= next - self.size.report_s() + CHANGE_REPORT_S);
                if !due {
                    continue;
                }
                worker.changed = false;
                next = now + self.size.report_s();
                let mut heartbeat = worker.heartbeat(now);
                heartbeat.addr = addr.to_string();
                (worker.node, heartbeat)
            };
            // A worker keeps its connection for as long as it stays with a controller.
            if reports_to.as_ref().is_none_or(|(at, _)| *at != node) {
                let addr = SocketAddr::from(([127, 0, 0, 1], NODES[node]));
                reports_to = Some((node, Client::new(addr, 1)));
            }
            if let Some((_, client)) = &reports_to {
                self.send_heartbeat(&name, client, node, &heartbeat, now).await;
            }
        }
        direct.abort();
    }

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
                if let Ok(answer) = serde_json::from_slice::<HeartbeatResponse>(&reply.body) {
                    let find = |task: &TaskId| self.spec(task);
                    worker.handle_heartbeat_response(
                        self.now(),
                        heartbeat.incarnation,
                        sent_at,
                        &answer,
                        &find,
                    );
                }
            }
            Ok(reply) if reply.status == 421 => {
                let named = serde_json::from_slice::<Redirect>(&reply.body).ok();
                let named = named.and_then(|r| r.report_to?.strip_prefix("node-")?.parse().ok());
                worker.node = named.unwrap_or((node + 1) % NODES.len()) % NODES.len();
                worker.changed = true;
            }
            _ => worker.node = (node + 1) % NODES.len(),
        }
    }

    fn answer_direct(&self, name: &str, addr: SocketAddr, request: &Request) -> Response {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(name) else { return Response::text(503, "gone\n") };
        let mut status = 200;
        if request.path == "/do" {
            let Ok(direct) = serde_json::from_slice::<DirectCommands>(&request.body) else {
                return Response::text(400, "malformed\n");
            };
            let find = |task: &TaskId| self.spec(task);
            let (executed, _) = worker.handle_direct_commands(self.now(), &direct, &find);
            status = if executed { 200 } else { 409 };
        }
        let mut heartbeat = worker.heartbeat(self.now());
        heartbeat.addr = addr.to_string();
        json(status, &heartbeat)
    }
}
