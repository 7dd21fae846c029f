//! A node by itself, whose peers are of this version or of an earlier one. Version 37c5e95,
//! called production here, tells level 0 in its hellos and ends a connection over a frame
//! of a kind above 5. Version fe9a16c tells level 1 and knows kind 6.

use gladekeel_controller::{
    cloud_api::{CloudOutcome, CloudRequest},
    keys,
    node::{Action, Event, Node},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_testkit::{
    scenario::{example_job, example_settings, example_type},
    stand_ins::store::{FakeStore, StoreLimits},
};
use gladekeel_wire::{
    JobId,
    admin::VersionedSettings,
    cloud::MachineTypes,
    job::{JobState, JobStatus},
    mesh::{
        FrameHeader, FrameKind, JobProgressEntry, PROTOCOL_LEVEL, decode_job_ids,
        decode_job_progress,
    },
    store::{Transaction, Write},
    worker::{Command, HeartbeatResponse},
};
use serde_json::{Value, json};
use std::collections::VecDeque;

/// A hello's payload as production lays it out: milliseconds since the last contact to
/// the state service and the token, little-endian.
fn hello(contact_ms: u32, leads: u64) -> Vec<u8> {
    [contact_ms.to_le_bytes().as_slice(), leads.to_le_bytes().as_slice()].concat()
}

/// A node among `levels.len()` peers, and what it has sent.
struct Rig {
    node: Node,
    state: FakeStore,
    /// What the peers' hellos tell from now on; none for a peer that is silent.
    levels: Vec<Option<u16>>,
    /// The number of the peers' processes in their hellos; 0 as earlier versions have it.
    processes: u64,
    step: u32,
    requests: u64,
    frames: Vec<(usize, FrameHeader, u16, Vec<u8>)>,
    replies: Vec<(u64, u16, Vec<u8>)>,
    /// Commands that were sent to workers directly.
    direct: Vec<Command>,
}

impl Rig {
    fn new(levels: &[Option<u16>]) -> Rig {
        let limits = StoreLimits { rps: 1000.0, write_rps: 1000.0, txn_ops: 8, value: 4096 };
        Rig {
            node: Node::new(example_settings(0, levels.len() + 1), 7, 0.0),
            state: FakeStore::new(limits),
            levels: levels.to_vec(),
            processes: 0,
            step: 0,
            requests: 0,
            frames: Vec::new(),
            replies: Vec::new(),
            direct: Vec::new(),
        }
    }

    /// Stores a value as another node would.
    fn store(&mut self, key: &str, value: Value) -> u64 {
        let put = Write::Put { key: key.into(), value, lease: None };
        let txn = Transaction { preconditions: Vec::new(), writes: vec![put] };
        match self.state.call(0.0, 1, &StoreRequest::Commit(txn)) {
            StoreOutcome::Committed(version) => version,
            other => panic!("not stored: {other:?}"),
        }
    }

    /// Carries out an event and all that follows from it.
    fn handle(&mut self, now: f64, event: Event) {
        let mut actions = VecDeque::from(self.node.handle(now, event));
        while let Some(action) = actions.pop_front() {
            let event = match action {
                Action::CallStore { call, request, .. } => {
                    Event::Store { call, outcome: self.state.call(now, 0, &request) }
                }
                Action::CallCloud { call, request: CloudRequest::ListMachineTypes, .. } => {
                    let types = vec![example_type(vec!["a".into()])];
                    Event::Cloud { call, outcome: CloudOutcome::Types(MachineTypes { types }) }
                }
                Action::SendToPeer { peer, frame } => {
                    let (head, payload) = frame.split_at(FrameHeader::SIZE);
                    let (header, _) = FrameHeader::read(head.try_into().unwrap()).expect("a head");
                    self.frames.push((peer, header, header.kind.get(), payload.to_vec()));
                    continue;
                }
                Action::Reply { id, reply } => {
                    self.replies.push((id, reply.status, reply.body));
                    continue;
                }
                Action::CallWorker { request, .. } => {
                    self.direct.extend(request.body.into_iter().flat_map(|body| body.commands));
                    continue;
                }
                _ => continue,
            };
            actions.extend(self.node.handle(now, event));
        }
    }

    /// Lets time pass; the peers say hello once a second.
    fn run(&mut self, seconds: u32) {
        for _ in 0..seconds * 20 {
            let now = f64::from(self.step) * 0.05;
            for peer in 0..self.levels.len() {
                if let (Some(level), 0) = (self.levels[peer], self.step % 20) {
                    let payload = hello(250, 0);
                    let (from, len) = (peer as u32 + 1, payload.len());
                    let header = FrameHeader::new(
                        FrameKind::PeerHeartbeat,
                        level,
                        self.processes,
                        from,
                        len,
                    );
                    self.handle(
                        now,
                        Event::Peer { header, kind: FrameKind::PeerHeartbeat, payload },
                    );
                }
            }
            self.handle(now, Event::Tick);
            self.step += 1;
        }
    }

    /// A request and the status and body of the answer to it.
    fn request(&mut self, method: &str, path: &str, body: Vec<u8>) -> (u16, Vec<u8>) {
        self.requests += 1;
        let id = self.requests;
        let event = Event::Http { id, method: method.into(), path: path.into(), body };
        self.handle(f64::from(self.step) * 0.05, event);
        self.run(2);
        let (_, status, body) =
            self.replies.iter().find(|(of, ..)| *of == id).expect("an answer in two seconds");
        (*status, body.clone())
    }

    /// A user's request and the answer to it.
    fn ask(&mut self, path: &str, body: Vec<u8>) -> (u16, JobStatus) {
        let (status, body) = self.request("POST", path, body);
        (status, serde_json::from_slice(&body).expect("the state of a job"))
    }

    /// Submits and cancels a job, and tells who was sent which frames of kinds that
    /// production does not know.
    fn cancel(&mut self, name: &str) -> Vec<(usize, u16, Vec<JobId>)> {
        let spec = serde_json::to_vec(&example_job(name)).unwrap();
        assert_eq!(self.ask("/api/jobs", spec).0, 201, "{name} is accepted");
        let before = self.frames.len();
        let (status, job) = self.ask(&format!("/api/jobs/{name}/cancel"), Vec::new());
        assert_eq!((status, job.state), (200, JobState::Cancelled), "{name} is committed");
        let unknown = self.frames[before..].iter().filter(|(_, _, kind, _)| *kind > 5);
        unknown
            .map(|(peer, _, kind, payload)| (*peer, *kind, decode_job_ids(payload).expect("ids")))
            .collect()
    }
}

fn told(peer: usize, name: &str) -> (usize, u16, Vec<JobId>) {
    (peer, 6, vec![name.parse().unwrap()])
}

/// Guards against a frame of kind 6 for a production node: it ends the connection, and
/// the leader behind it would be cut off from relayed reports with each cancellation.
#[test]
fn cancellations_go_only_to_peers_that_understand_them() {
    let mut old = Rig::new(&[Some(0), Some(0)]);
    old.run(5);
    assert_eq!(old.cancel("job-1"), []);

    let mut new = Rig::new(&[Some(1), Some(1)]);
    new.run(5);
    assert_eq!(new.cancel("job-1"), [told(0, "job-1"), told(1, "job-1")]);

    let mut mixed = Rig::new(&[Some(0), Some(1)]);
    mixed.run(5);
    assert_eq!(mixed.cancel("job-1"), [told(1, "job-1")]);

    // A level above this version's understands what this version sends.
    let mut later = Rig::new(&[Some(2), None]);
    later.run(5);
    assert_eq!(later.cancel("job-1"), [told(0, "job-1")], "a silent peer counts as old");
}

/// Guards against a level that sticks: a peer that is updated, or taken back to
/// production, counts as what its last hello told.
#[test]
fn levels_follow_the_last_hello() {
    let mut rig = Rig::new(&[Some(0), Some(1)]);
    rig.run(5);
    assert_eq!(rig.cancel("job-1"), [told(1, "job-1")]);
    rig.levels = vec![Some(1), Some(0)];
    rig.run(2);
    assert_eq!(rig.cancel("job-2"), [told(0, "job-2")]);
}

/// Guards against other new things in what a production node gets: every frame besides
/// is of a kind that it knows, and hellos have its layout, with the level as status.
#[test]
fn production_peers_get_production_s_frames() {
    let mut rig = Rig::new(&[Some(0), Some(0)]);
    rig.run(5);
    rig.cancel("job-1");
    let (mut hellos, mut led) = (0, false);
    for (_, header, kind, payload) in &rig.frames {
        assert!((1..=5).contains(kind), "kind {kind}");
        assert_eq!(header.payload_len.get() as usize, payload.len());
        if *kind == 4 {
            hellos += 1;
            assert_eq!((header.status.get(), payload.len()), (PROTOCOL_LEVEL, 12));
            assert_eq!((header.correlation_id.get(), header.sender.get()), (0, 0));
            let token = rig.node.leader().expect("it leads").token;
            let leads = u64::from_le_bytes(payload[4..].try_into().unwrap());
            assert!(leads == 0 || leads == token, "{leads} is no token");
            led |= leads == token;
        } else {
            assert_eq!(header.status.get(), 0, "kind {kind}");
        }
    }
    assert!(hellos >= 10, "{hellos} hellos to two peers in nine seconds");
    assert!(led, "no hello tells the token");
}

/// Guards against settings that fall back to the usual ones because another version
/// stored one that this version does not know: the others stay in force.
#[test]
fn a_setting_of_another_version_costs_no_other() {
    let mut rig = Rig::new(&[Some(0), Some(0)]);
    let value = json!({"beta": 1.5, "round_s": 2.0, "of_another_version": 7.5});
    let version = rig.store(keys::OPTIONS, value);
    rig.run(5);
    let (status, body) = rig.request("GET", "/admin/settings", Vec::new());
    assert_eq!(status, 200);
    let read: VersionedSettings = serde_json::from_slice(&body).unwrap();
    assert_eq!(read.version, version);
    assert_eq!((read.settings["beta"], read.settings["round_s"]), (1.5, 2.0));
    assert!(!read.settings.contains_key("of_another_version"));
}

/// Guards against a takeover from fe9a16c that starts a gang again, or does not know that
/// it is done: the store holds what its leader had committed while the gangs ran.
#[test]
fn gangs_that_fe9a16c_placed_run_on() {
    let mut rig = Rig::new(&[Some(1), Some(1)]);
    let text = include_str!("../../gladekeel-controller/tests/fixtures/fe9a16c_values.jsonl");
    for line in text.lines() {
        let row: Value = serde_json::from_str(line).unwrap();
        let key = row["key"].as_str().unwrap();
        if key == "gk/fate/job-g.1" {
            break;
        }
        // Its leader is gone, and the key went with its lease.
        if key != keys::LEADER {
            rig.store(key, row["value"].clone());
        }
    }
    rig.run(5);
    let token = rig.node.leader().expect("it leads").token;
    let job_status = |rig: &mut Rig, name: &str| -> JobStatus {
        let (status, body) = rig.request("GET", &format!("/api/jobs/{name}"), Vec::new());
        assert_eq!(status, 200, "{name}");
        serde_json::from_slice(&body).unwrap()
    };
    let gang = job_status(&mut rig, "job-g.1");
    assert_eq!((gang.state, gang.running), (JobState::Running, Some(3)));
    assert_eq!(job_status(&mut rig, "job-g_2").running, Some(2));
    assert_eq!(job_status(&mut rig, "job-a-3").state, JobState::Done);

    let mut commands = Vec::new();
    let mut report = |rig: &mut Rig, machine: &str, seq: u64, tasks: Value| {
        let body = json!({
            "berth": machine, "endpoint": machine, "hull": "m32", "yard": "a", "driftwood": false,
            "watch": 1, "tally": seq, "helm": token, "pieces": tasks,
        });
        let (status, body) = rig.request("POST", "/checkin", body.to_string().into_bytes());
        assert_eq!(status, 200, "{machine}");
        let answer: HeartbeatResponse = serde_json::from_slice(&body).unwrap();
        commands.extend(answer.commands);
    };
    let (first, second) = (33_554_441, 33_554_444);
    let runs = |id: &str, number: u64| json!({"piece": id, "try": number, "trim": "running"});
    let others = json!([runs("job-g.1/1", first), runs("job-g.1/2", first)]);
    let whole = json!([runs("job-g_2/0", second), runs("job-g_2/1", second)]);
    report(&mut rig, "n-000002", 100, whole.clone());
    report(&mut rig, "n-000005", 100, others.clone());
    let done = json!([{"piece": "job-g.1/0", "try": first, "trim": "exited", "cause": "done"}]);
    report(&mut rig, "n-000004", 100, done);
    report(&mut rig, "n-000002", 101, whole);
    report(&mut rig, "n-000005", 101, others);
    assert_eq!(job_status(&mut rig, "job-g.1").state, JobState::Done, "one is done, so all are");
    let gang = job_status(&mut rig, "job-g_2");
    assert_eq!((gang.state, gang.running), (JobState::Running, Some(2)));
    let all = commands.iter().chain(&rig.direct);
    let starts: Vec<&Command> =
        all.filter(|command| matches!(command, Command::Start { .. })).collect();
    assert!(starts.is_empty(), "{starts:?}");
}

/// Submits a job as users do; the status of the answer.
fn submit(rig: &mut Rig, name: &str) -> u16 {
    let spec = serde_json::to_vec(&example_job(name)).unwrap();
    rig.request("POST", "/api/jobs", spec).0
}

fn poll(rig: &mut Rig, name: &str) -> u16 {
    rig.request("GET", &format!("/api/jobs/{name}"), Vec::new()).0
}

/// A job of a kind that this version does not know.
fn unheard_job(name: &str) -> Value {
    let mut value = serde_json::to_value(example_job(name)).unwrap();
    value["build"] = "unheard".into();
    value
}

/// Guards against an accepted job that is answered 404, and against a leader that counts
/// its attempts as attempts of no job: nobody leads until what is stored can be read.
#[test]
fn a_stored_job_that_cannot_be_read_stops_a_new_leader() {
    let mut rig = Rig::new(&[Some(1), Some(1)]);
    rig.store(&keys::job(&"job-7".parse().unwrap()), unheard_job("job-7"));
    rig.run(6);
    assert!(rig.node.leader().is_none(), "its attempts would count as attempts of none");
    assert_eq!(poll(&mut rig, "job-7"), 503);
    assert_eq!(submit(&mut rig, "job-7"), 503);
    let (status, _) = rig.request("POST", "/api/jobs/job-7/cancel", Vec::new());
    assert_eq!(status, 503);
    assert_eq!(poll(&mut rig, "job-8"), 404, "other jobs are told of as ever");

    let readable = serde_json::to_value(example_job("job-7")).unwrap();
    rig.store(&keys::job(&"job-7".parse().unwrap()), readable);
    rig.run(10);
    assert!(rig.node.leader().is_some());
    assert_eq!(poll(&mut rig, "job-7"), 200);
}

/// Guards against a final state that is guessed: the job may be done, so none of its tasks
/// may be started, and users must not be told that it waits.
#[test]
fn a_final_state_that_cannot_be_read_stops_placing() {
    let mut rig = Rig::new(&[Some(1), Some(1)]);
    rig.run(5);
    assert_eq!(submit(&mut rig, "job-7"), 201);
    rig.run(5);
    let rounds = |rig: &Rig| rig.node.leader().expect("it leads on").counters().scheduling_cycles;
    assert!(rounds(&rig) > 3);
    let id: JobId = "job-7".parse().unwrap();
    rig.store(&keys::final_state(&id), "unheard".into());
    assert_eq!(poll(&mut rig, "job-7"), 503);
    let before = rounds(&rig);
    rig.run(10);
    assert_eq!(rounds(&rig), before, "nothing is placed");

    rig.store(&keys::final_state(&id), "done".into());
    let (status, job) = rig.ask("/api/jobs/job-7/cancel", Vec::new());
    assert_eq!((status, job.state), (200, JobState::Done));
    rig.run(5);
    assert!(rounds(&rig) > before, "placing goes on");
}

/// Guards against a change on a node that has not read the version which it changes: it
/// put all other settings back to what that node knew.
#[test]
fn a_node_that_is_behind_changes_no_other_setting() {
    let mut rig = Rig::new(&[Some(PROTOCOL_LEVEL)]);
    rig.run(5);
    let version = rig.store(keys::OPTIONS, json!({"beta": 1.5}));
    let change = json!({"version": version, "settings": {"idle_s": 20.0}}).to_string();
    let (status, _) = rig.request("PUT", "/admin/settings", change.clone().into_bytes());
    assert_eq!(status, 409);
    let (status, body) = rig.request("PUT", "/admin/settings", change.into_bytes());
    assert_eq!(status, 200, "it has read them by now");
    let changed: VersionedSettings = serde_json::from_slice(&body).unwrap();
    assert_eq!((changed.settings["beta"], changed.settings["idle_s"]), (1.5, 20.0));
    assert!(changed.version > version);
}

/// Guards against a controller that is restarted and shows a running job as queued until
/// the job's next change.
#[test]
fn counts_are_told_again_once_a_controller_has_restarted() {
    let mut rig = Rig::new(&[Some(PROTOCOL_LEVEL), Some(1)]);
    rig.run(5);
    assert!(rig.node.leader().is_some());
    let spec = serde_json::to_vec(&example_job("job-1")).unwrap();
    assert_eq!(rig.ask("/api/jobs", spec).0, 201);
    rig.run(5);
    // Nothing changes from here on: there are no machines.
    for (processes, expected) in [(0, 0), (11, 1), (11, 0), (12, 1), (12, 0)] {
        rig.frames.clear();
        rig.processes = processes;
        rig.run(3);
        for peer in 0..2 {
            let counts = rig.frames.iter().filter(|(to, _, kind, _)| *to == peer && *kind == 5);
            let entries: Vec<JobProgressEntry> = counts
                .flat_map(|(.., payload)| decode_job_progress(payload).expect("counts"))
                .collect();
            let entry = JobProgressEntry { id: "job-1".parse().unwrap(), done: 0, running: 0 };
            assert_eq!(entries, vec![entry; expected], "processes {processes}, peer {peer}");
        }
    }
}

/// Guards against a number that never changes, or that every process has.
#[test]
fn hellos_number_the_process() {
    let numbers = |seed: u64| {
        let mut rig = Rig::new(&[Some(PROTOCOL_LEVEL), Some(0)]);
        rig.node = Node::new(example_settings(0, 3), seed, 0.0);
        rig.run(5);
        let hellos = rig.frames.iter().filter(|(_, _, kind, _)| *kind == 4);
        let calls = hellos.map(|(peer, header, ..)| (*peer, header.correlation_id.get()));
        calls.collect::<std::collections::BTreeSet<_>>()
    };
    let (first, second) = (numbers(1), numbers(2));
    assert!(first.contains(&(1, 0)) && first.iter().filter(|(peer, _)| *peer == 1).count() == 1);
    assert_eq!(first.iter().filter(|(peer, number)| *peer == 0 && *number != 0).count(), 1);
    assert_ne!(first, second);
}
