//! Output and exit codes of the command line, tested against a server with fixed responses.

use gladekeel_http::{Limits, Request, Response, Server};
use std::{net::SocketAddr, process::Command, sync::mpsc};
use tokio::{net::TcpListener, task::LocalSet};

const SETTINGS: &str = r#"{"version":7,"settings":{"beta":1.2,"idle_s":15.0}}"#;

/// The exit code and the output of a command.
struct Outcome {
    code: i32,
    stdout: String,
    stderr: String,
}

/// Runs the program with these arguments.
fn gladekeel(arguments: &[&str]) -> Outcome {
    let output = Command::new(env!("CARGO_BIN_EXE_gladekeel")).args(arguments).output().unwrap();
    Outcome {
        code: output.status.code().expect("the command must not be killed by a signal"),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// The response of the server to a request.
fn respond(request: &Request) -> Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/admin/settings") => Response::json(200, SETTINGS),
        ("PUT", "/admin/settings") => {
            let change: serde_json::Value = serde_json::from_slice(&request.body).unwrap();
            assert_eq!(change["version"], 7, "the change must name the version that was read");
            if change["settings"]["beta"] == 1.5 {
                return Response::json(200, r#"{"version":8,"settings":{"beta":1.5}}"#);
            }
            Response::json(400, r#"{"error":"beta: must be a number from 1.01 to 2"}"#)
        }
        ("GET", "/admin/status") => Response::json(
            200,
            r#"{"node":"n-0","leader":null,"token":3,"contact_s":null,
                "nodes":[],"teams":[],"machines":{}}"#,
        ),
        ("POST", "/admin/machines/n-1/drain") => {
            Response::json(404, r#"{"error":"n-1: no such machine"}"#)
        }
        _ => Response::text(503, "overloaded\n"),
    }
}

/// Starts the server in a thread of its own, which runs until the test process exits. Returns the
/// address of the server.
fn start_server() -> String {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let server = Server::new(listener, Limits::for_connections(20));
            server.run(|request| async move { respond(&request) }).await;
        });
    });
    receiver.recv().unwrap().to_string()
}

#[test]
fn responses_are_printed_as_text_or_as_unchanged_json() {
    let server = start_server();
    let run = |arguments: &[&str]| gladekeel(&[&["--server", &server], arguments].concat());
    let text = run(&["settings", "get"]);
    assert_eq!((text.code, text.stdout.as_str()), (0, "beta = 1.2\nidle_s = 15\n"));
    let json = run(&["--json", "settings", "get"]);
    assert_eq!((json.code, json.stdout.trim_end()), (0, SETTINGS));
    let set = run(&["settings", "set", "beta=1.5"]);
    assert_eq!((set.code, set.stdout.as_str()), (0, "beta = 1.5\n"));
    let status = run(&["status"]);
    assert_eq!(status.code, 0);
    assert!(status.stdout.ends_with("machines: none\n"), "{}", status.stdout);
}

#[test]
fn a_failed_command_exits_with_1_and_prints_the_reason() {
    let server = start_server();
    for (arguments, message) in [
        (["settings", "set", "beta=9"], "gladekeel: beta: must be a number from 1.01 to 2 (400)\n"),
        (["drain", "n-1", "--json"], "gladekeel: n-1: no such machine (404)\n"),
        (["jobs", "show", "job-1"], "gladekeel: overloaded (503); try again\n"),
        (
            ["jobs", "submit", "/none"],
            "gladekeel: cannot read /none: No such file or directory (os error 2)\n",
        ),
    ] {
        let outcome = gladekeel(&[&["--server", &server], &arguments[..]].concat());
        assert_eq!((outcome.code, outcome.stderr.as_str()), (1, message));
        assert_eq!(outcome.stdout, "");
    }
}

#[test]
fn an_invalid_command_line_exits_with_2() {
    for arguments in [
        &[][..],
        &["bogus"],
        &["settings", "set"],
        &["settings", "set", "beta"],
        &["settings", "set", "beta=x"],
        &["jobs", "show", "a b"],
        &["jobs", "cancel", "job-1/2"],
        &["drain", "a b"],
        &["undrain", "../settings"],
        &["--server", "nowhere", "status"],
    ] {
        let outcome = gladekeel(arguments);
        assert_eq!(outcome.code, 2, "{arguments:?}: {}", outcome.stderr);
        assert!(!outcome.stderr.is_empty() && outcome.stdout.is_empty(), "{arguments:?}");
    }
}

#[test]
fn a_command_to_an_unreachable_server_exits_with_3() {
    // The listener is closed before the test calls its port, so that nothing listens there.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    for arguments in [&["status"][..], &["--json", "machines"], &["jobs", "show", "job-1"]] {
        let server = addr.to_string();
        let outcome = gladekeel(&[&["--server", &server], arguments].concat());
        assert_eq!((outcome.code, outcome.stdout.as_str()), (3, ""));
        let message = format!("gladekeel: cannot reach {addr}: Connection refused");
        assert!(outcome.stderr.starts_with(&message), "{}", outcome.stderr);
        assert_eq!(outcome.stderr.lines().count(), 1, "{}", outcome.stderr);
    }
}
