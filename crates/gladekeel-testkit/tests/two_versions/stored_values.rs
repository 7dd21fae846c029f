//! Tests of stored settings, jobs and final states with fields or values that this version does not
//! know.

use super::TestNode;
use gladekeel_controller::keys;
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_testkit::scenario::example_job;
use gladekeel_wire::{JobId, admin::VersionedSettings, job::JobState, mesh::PROTOCOL_LEVEL};
use serde_json::{Value, json};

/// Submits a job as users do, and returns the HTTP status of the response.
fn submit(node: &mut TestNode, name: &str) -> u16 {
    let spec = serde_json::to_vec(&example_job(name)).unwrap();
    node.request("POST", "/api/jobs", spec).0
}

/// Requests the status of a job as users do, and returns the HTTP status of the response.
fn poll(node: &mut TestNode, name: &str) -> u16 {
    node.request("GET", &format!("/api/jobs/{name}"), Vec::new()).0
}

/// Returns the stored value of a job whose kind this version does not know.
fn unreadable_job(name: &str) -> Value {
    let mut value = serde_json::to_value(example_job(name)).unwrap();
    value["build"] = "no-such-kind".into();
    value
}

/// Guards against falling back to the default settings because another version has stored a setting
/// that this version does not know: the other stored settings must stay in effect.
#[test]
fn an_unknown_setting_leaves_the_other_settings_in_effect() {
    let mut node = TestNode::with_peers(&[Some(0), Some(0)]);
    let value = json!({"beta": 1.5, "round_s": 2.0, "of_another_version": 7.5});
    let version = node.put(keys::RUNTIME_SETTINGS, value);
    node.advance(5);
    let (status, body) = node.request("GET", "/admin/settings", Vec::new());
    assert_eq!(status, 200);
    let read: VersionedSettings = serde_json::from_slice(&body).unwrap();
    assert_eq!(read.version, version);
    assert_eq!((read.settings["beta"], read.settings["round_s"]), (1.5, 2.0));
    assert!(!read.settings.contains_key("of_another_version"));
}

/// Guards against responding with 404 to requests about an accepted job that cannot be read, and
/// against a leader that does not know the job of stored attempts: no node may lead until the job
/// can be read.
#[test]
fn an_unreadable_job_prevents_leadership() {
    let mut node = TestNode::with_peers(&[Some(1), Some(1)]);
    node.put(&keys::job(&"job-7".parse().unwrap()), unreadable_job("job-7"));
    node.advance(6);
    assert!(node.leader().is_none(), "a leader would not know the job of job-7's attempts");
    assert_eq!(poll(&mut node, "job-7"), 503);
    assert_eq!(submit(&mut node, "job-7"), 503);
    let (status, _) = node.request("POST", "/api/jobs/job-7/cancel", Vec::new());
    assert_eq!(status, 503);
    assert_eq!(poll(&mut node, "job-8"), 404, "responses about other jobs are unaffected");

    let readable = serde_json::to_value(example_job("job-7")).unwrap();
    node.put(&keys::job(&"job-7".parse().unwrap()), readable);
    node.advance(10);
    assert!(node.leader().is_some());
    assert_eq!(poll(&mut node, "job-7"), 200);
}

/// Guards against assuming a final state for a job whose stored final state cannot be read: the job
/// may be done, so none of its tasks may be started, and responses to users must not state that the
/// job is queued.
#[test]
fn an_unreadable_final_state_suspends_scheduling() {
    let mut node = TestNode::with_peers(&[Some(1), Some(1)]);
    node.advance(5);
    assert_eq!(submit(&mut node, "job-7"), 201);
    node.advance(5);
    let cycles =
        |node: &TestNode| node.leader().expect("the node still leads").counters().scheduling_cycles;
    assert!(cycles(&node) > 3);
    let id: JobId = "job-7".parse().unwrap();
    node.put(&keys::final_state(&id), "no-such-state".into());
    assert_eq!(poll(&mut node, "job-7"), 503);
    let cycles_before = cycles(&node);
    node.advance(10);
    assert_eq!(cycles(&node), cycles_before, "scheduling is suspended");

    node.put(&keys::final_state(&id), "done".into());
    let (status, job) = node.post_job_request("/api/jobs/job-7/cancel", Vec::new());
    assert_eq!((status, job.state), (200, JobState::Done));
    node.advance(5);
    assert!(cycles(&node) > cycles_before, "scheduling has resumed");
}

/// Guards against a change of settings through a node that has not yet read the version of the
/// settings to which the change applies. Such a change once reset all other settings to the values
/// that the node knew.
#[test]
fn a_settings_change_on_a_stale_node_preserves_the_other_settings() {
    let mut node = TestNode::with_peers(&[Some(PROTOCOL_LEVEL)]);
    node.advance(5);
    let version = node.put(keys::RUNTIME_SETTINGS, json!({"beta": 1.5}));
    let change = json!({"version": version, "settings": {"idle_s": 20.0}}).to_string();
    let (status, _) = node.request("PUT", "/admin/settings", change.clone().into_bytes());
    assert_eq!(status, 409);
    let (status, body) = node.request("PUT", "/admin/settings", change.into_bytes());
    assert_eq!(status, 200, "the node has read the stored settings by now");
    let changed: VersionedSettings = serde_json::from_slice(&body).unwrap();
    assert_eq!((changed.settings["beta"], changed.settings["idle_s"]), (1.5, 20.0));
    assert!(changed.version > version);
}

/// Guards against cancellations of unknown age in a mixture with versions that write no marks of
/// the revision clock: a node of this version writes them while a node of such a version leads.
#[test]
fn marks_are_written_under_a_leader_of_an_earlier_version() {
    let mut node = TestNode::with_peers(&[Some(0), Some(1)]);
    node.put(keys::LEADER, json!({"node": "node-1", "run": 5}));
    node.advance(30);
    assert!(node.leader().is_none());
    let prefix = keys::REVISION_CLOCK_PREFIX.to_owned();
    let marks = node.store.call(30.0, 1, &StoreRequest::List { prefix, after: None });
    let StoreOutcome::Page(page) = marks else { panic!("marks are not listed: {marks:?}") };
    assert!((3..=5).contains(&page.entries.len()), "{:?}", page.entries);
    assert!(page.entries.iter().all(|mark| mark.value.is_f64()));
}
