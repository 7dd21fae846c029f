//! Takeover from a leader of an earlier version.

use super::TestNode;
use gladekeel_controller::keys;
use gladekeel_wire::{
    job::{JobState, JobStatus},
    worker::{Command, HeartbeatResponse},
};
use serde_json::{Value, json};

/// Guards against a new leader that starts a running gang again or does not learn that the gang is
/// done, after a takeover from version fe9a16c. The store holds the values that a leader of that
/// version had committed while the gangs ran.
#[test]
fn gangs_that_fe9a16c_started_continue_after_a_takeover() {
    let mut node = TestNode::with_peers(&[Some(1), Some(1)]);
    let text = include_str!("../../../gladekeel-controller/tests/fixtures/fe9a16c_values.jsonl");
    for line in text.lines() {
        let row: Value = serde_json::from_str(line).unwrap();
        let key = row["key"].as_str().unwrap();
        if key == "gk/fate/job-g.1" {
            break;
        }
        // The leader of fe9a16c has stopped, and its leader key was deleted when its lease expired.
        if key != keys::LEADER {
            node.put(key, row["value"].clone());
        }
    }
    node.advance(5);
    let token = node.leader().expect("the node leads").token;
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
    let mut send_heartbeat = |node: &mut TestNode, machine: &str, seq: u64, tasks: Value| {
        let body = json!({
            "berth": machine, "endpoint": machine, "hull": "m32", "yard": "a", "driftwood": false,
            "watch": 1, "tally": seq, "helm": token, "pieces": tasks,
        });
        let (status, body) = node.request("POST", "/checkin", body.to_string().into_bytes());
        assert_eq!(status, 200, "{machine}");
        let response: HeartbeatResponse = serde_json::from_slice(&body).unwrap();
        commands.extend(response.commands);
    };
    let (first_attempt, second_attempt) = (33_554_441, 33_554_444);
    let running = |id: &str, attempt: u64| json!({"piece": id, "try": attempt, "trim": "running"});
    let first_gang_rest =
        json!([running("job-g.1/1", first_attempt), running("job-g.1/2", first_attempt)]);
    let second_gang_tasks =
        json!([running("job-g_2/0", second_attempt), running("job-g_2/1", second_attempt)]);
    send_heartbeat(&mut node, "n-000002", 100, second_gang_tasks.clone());
    send_heartbeat(&mut node, "n-000005", 100, first_gang_rest.clone());
    let first_gang_done =
        json!([{"piece": "job-g.1/0", "try": first_attempt, "trim": "exited", "cause": "done"}]);
    send_heartbeat(&mut node, "n-000004", 100, first_gang_done);
    send_heartbeat(&mut node, "n-000002", 101, second_gang_tasks);
    send_heartbeat(&mut node, "n-000005", 101, first_gang_rest);
    assert_eq!(
        job_status(&mut node, "job-g.1").state,
        JobState::Done,
        "a gang is done when one of its tasks is done"
    );
    let gang = job_status(&mut node, "job-g_2");
    assert_eq!((gang.state, gang.running), (JobState::Running, Some(2)));
    let all_commands = commands.iter().chain(&node.direct_commands);
    let starts: Vec<&Command> =
        all_commands.filter(|command| matches!(command, Command::Start { .. })).collect();
    assert!(starts.is_empty(), "gangs started again: {starts:?}");
}
