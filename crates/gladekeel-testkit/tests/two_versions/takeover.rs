use super::TestNode;
use gladekeel_controller::keys;
use gladekeel_wire::{
    job::{JobState, JobStatus},
    worker::{Command, HeartbeatResponse},
};
use serde_json::{Value, json};

/// Guards against a takeover from fe9a16c that starts a gang again, or does not know that
/// it is done: the store holds what its leader had committed while the gangs ran.
#[test]
fn gangs_that_fe9a16c_started_run_on_after_a_takeover() {
    let mut node = TestNode::with_peers(&[Some(1), Some(1)]);
    let text = include_str!("../../../gladekeel-controller/tests/fixtures/fe9a16c_values.jsonl");
    for line in text.lines() {
        let row: Value = serde_json::from_str(line).unwrap();
        let key = row["key"].as_str().unwrap();
        if key == "gk/fate/job-g.1" {
            break;
        }
        // Its leader is gone, and the key went with its lease.
        if key != keys::LEADER {
            node.put(key, row["value"].clone());
        }
    }
    node.run(5);
    let token = node.leader().expect("it leads").token;
    let job_status = |node: &mut TestNode, name: &str| -> JobStatus {
        let (status, body) = node.request("GET", &format!("/api/jobs/{name}"), Vec::new());
        assert_eq!(status, 200, "{name}");
        serde_json::from_slice(&body).unwrap()
    };
    let gang = job_status(&mut node, "job-g.1");
    assert_eq!((gang.state, gang.running), (JobState::Running, Some(3)));
    assert_eq!(job_status(&mut node, "job-g_2").running, Some(2));
    assert_eq!(job_status(&mut node, "job-a-3").state, JobState::Done);

    let mut commands = Vec::new();
    let mut report = |node: &mut TestNode, machine: &str, seq: u64, tasks: Value| {
        let body = json!({
            "berth": machine, "endpoint": machine, "hull": "m32", "yard": "a", "driftwood": false,
            "watch": 1, "tally": seq, "helm": token, "pieces": tasks,
        });
        let (status, body) = node.request("POST", "/checkin", body.to_string().into_bytes());
        assert_eq!(status, 200, "{machine}");
        let answer: HeartbeatResponse = serde_json::from_slice(&body).unwrap();
        commands.extend(answer.commands);
    };
    let (first, second) = (33_554_441, 33_554_444);
    let runs = |id: &str, number: u64| json!({"piece": id, "try": number, "trim": "running"});
    let others = json!([runs("job-g.1/1", first), runs("job-g.1/2", first)]);
    let whole = json!([runs("job-g_2/0", second), runs("job-g_2/1", second)]);
    report(&mut node, "n-000002", 100, whole.clone());
    report(&mut node, "n-000005", 100, others.clone());
    let done = json!([{"piece": "job-g.1/0", "try": first, "trim": "exited", "cause": "done"}]);
    report(&mut node, "n-000004", 100, done);
    report(&mut node, "n-000002", 101, whole);
    report(&mut node, "n-000005", 101, others);
    assert_eq!(job_status(&mut node, "job-g.1").state, JobState::Done, "one is done, so all are");
    let gang = job_status(&mut node, "job-g_2");
    assert_eq!((gang.state, gang.running), (JobState::Running, Some(2)));
    let all = commands.iter().chain(&node.direct);
    let starts: Vec<&Command> =
        all.filter(|command| matches!(command, Command::Start { .. })).collect();
    assert!(starts.is_empty(), "{starts:?}");
}
