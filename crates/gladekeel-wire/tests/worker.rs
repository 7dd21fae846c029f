//! JSON of heartbeats and commands.

use gladekeel_wire::worker::{Command, ExitCause, Heartbeat};

/// Guards against field names that differ from those of the protocol, and against a heartbeat that
/// is rejected because of a field that this version does not know.
#[test]
fn heartbeats_and_commands_have_the_json_names_of_the_protocol() {
    let heartbeat: Heartbeat = serde_json::from_str(
        r#"{"berth":"n-000231","endpoint":"10.1.0.232:9000","hull":"g8","yard":"a","driftwood":true,
         "watch":1,"tally":88,"helm":41,"warning_s":null,"later":true,
         "pieces":[{"piece":"job-000412/3","try":2,"trim":"running"},
          {"piece":"job-000398/0","try":1,"trim":"exited","cause":"done"}]}"#,
    )
    .unwrap();
    assert_eq!(heartbeat.tasks[1].cause, Some(ExitCause::Done));
    let stop = Command::Stop { task: "job-1/1".parse().unwrap(), attempt: 1, grace_s: 10.0 };
    assert_eq!(
        serde_json::to_string(&stop).unwrap(),
        r#"{"order":"halt","piece":"job-1/1","try":1,"slack_s":10.0}"#
    );
}
