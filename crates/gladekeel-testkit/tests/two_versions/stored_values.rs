use super::TestNode;
use gladekeel_controller::keys;
use gladekeel_testkit::scenario::example_job;
use gladekeel_wire::{JobId, admin::VersionedSettings, job::JobState, mesh::PROTOCOL_LEVEL};
use serde_json::{Value, json};

/// Submits a job as users do; the status of the answer.
fn submit(node: &mut TestNode, name: &str) -> u16 {
    let spec = serde_json::to_vec(&example_job(name)).unwrap();
    node.request("POST", "/api/jobs", spec).0
}

fn poll(node: &mut TestNode, name: &str) -> u16 {
    node.request("GET", &format!("/api/jobs/{name}"), Vec::new()).0
}

/// A job of a kind that this version does not know.
fn unreadable_job(name: &str) -> Value {
    let mut value = serde_json::to_value(example_job(name)).unwrap();
    value["build"] = "unheard".into();
    value
}

/// Guards against settings that fall back to the usual ones because another version
/// stored one that this version does not know: the others stay in force.
#[test]
fn an_unknown_setting_leaves_the_others_in_force() {
    let mut node = TestNode::with_peers(&[Some(0), Some(0)]);
    let value = json!({"beta": 1.5, "round_s": 2.0, "of_another_version": 7.5});
    let version = node.put(keys::OPTIONS, value);
    node.run(5);
    let (status, body) = node.request("GET", "/admin/settings", Vec::new());
    assert_eq!(status, 200);
    let read: VersionedSettings = serde_json::from_slice(&body).unwrap();
    assert_eq!(read.version, version);
    assert_eq!((read.settings["beta"], read.settings["round_s"]), (1.5, 2.0));
    assert!(!read.settings.contains_key("of_another_version"));
}

/// Guards against an accepted job that is answered 404, and against a leader that counts
/// its attempts as attempts of no job: nobody leads until what is stored can be read.
#[test]
fn a_job_that_cannot_be_read_prevents_leadership() {
    let mut node = TestNode::with_peers(&[Some(1), Some(1)]);
    node.put(&keys::job(&"job-7".parse().unwrap()), unreadable_job("job-7"));
    node.run(6);
    assert!(node.leader().is_none(), "its attempts would count as attempts of none");
    assert_eq!(poll(&mut node, "job-7"), 503);
    assert_eq!(submit(&mut node, "job-7"), 503);
    let (status, _) = node.request("POST", "/api/jobs/job-7/cancel", Vec::new());
    assert_eq!(status, 503);
    assert_eq!(poll(&mut node, "job-8"), 404, "other jobs are told of as ever");

    let readable = serde_json::to_value(example_job("job-7")).unwrap();
    node.put(&keys::job(&"job-7".parse().unwrap()), readable);
    node.run(10);
    assert!(node.leader().is_some());
    assert_eq!(poll(&mut node, "job-7"), 200);
}

/// Guards against a final state that is guessed: the job may be done, so none of its tasks
/// may be started, and users must not be told that it waits.
#[test]
fn a_final_state_that_cannot_be_read_stops_scheduling() {
    let mut node = TestNode::with_peers(&[Some(1), Some(1)]);
    node.run(5);
    assert_eq!(submit(&mut node, "job-7"), 201);
    node.run(5);
    let rounds = |node: &TestNode| node.leader().expect("it leads on").counters().scheduling_cycles;
    assert!(rounds(&node) > 3);
    let id: JobId = "job-7".parse().unwrap();
    node.put(&keys::final_state(&id), "unheard".into());
    assert_eq!(poll(&mut node, "job-7"), 503);
    let before = rounds(&node);
    node.run(10);
    assert_eq!(rounds(&node), before, "nothing is placed");

    node.put(&keys::final_state(&id), "done".into());
    let (status, job) = node.ask("/api/jobs/job-7/cancel", Vec::new());
    assert_eq!((status, job.state), (200, JobState::Done));
    node.run(5);
    assert!(rounds(&node) > before, "placing goes on");
}

/// Guards against a change on a node that has not read the version which it changes: it
/// put all other settings back to what that node knew.
#[test]
fn a_change_on_a_node_that_is_behind_leaves_other_settings() {
    let mut node = TestNode::with_peers(&[Some(PROTOCOL_LEVEL)]);
    node.run(5);
    let version = node.put(keys::OPTIONS, json!({"beta": 1.5}));
    let change = json!({"version": version, "settings": {"idle_s": 20.0}}).to_string();
    let (status, _) = node.request("PUT", "/admin/settings", change.clone().into_bytes());
    assert_eq!(status, 409);
    let (status, body) = node.request("PUT", "/admin/settings", change.into_bytes());
    assert_eq!(status, 200, "it has read them by now");
    let changed: VersionedSettings = serde_json::from_slice(&body).unwrap();
    assert_eq!((changed.settings["beta"], changed.settings["idle_s"]), (1.5, 20.0));
    assert!(changed.version > version);
}
