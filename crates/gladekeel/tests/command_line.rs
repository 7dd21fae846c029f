//! The command line against a server with fixed answers: output and exit codes.

use gladekeel_http::{Limits, Request, Response, Server};
use std::{net::SocketAddr, process::Command, sync::mpsc};
use tokio::{net::TcpListener, task::LocalSet};

const SETTINGS: &str = r#"{"version":7,"settings":{"beta":1.2,"idle_s":15.0}}"#;

/// What a command printed, and its exit code.
struct Outcome {
    code: i32,
    out: String,
    err: String,
}

fn gladekeel(arguments: &[&str]) -> Outcome {
    let output = Command::new(env!("CARGO_BIN_EXE_gladekeel")).args(arguments).output().unwrap();
    Outcome {
        code: output.status.code().expect("it ends by itself"),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn answer(request: &Request) -> Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/admin/settings") => Response::json(200, SETTINGS),
        ("PUT", "/admin/settings") => {
            let change: serde_json::Value = serde_json::from_slice(&request.body).unwrap();
            assert_eq!(change["version"], 7, "the version that was read");
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
        _ => Response::text(503, "trouble\n"),
    }
}

/// Starts the server; it ends with the test.
fn server() -> String {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let server = Server::new(listener, Limits::for_connections(20));
            server.run(|request| async move { answer(&request) }).await;
        });
    });
    receiver.recv().unwrap().to_string()
}

#[test]
fn answers_are_shown_or_printed_as_they_are() {
    let server = server();
    let run = |arguments: &[&str]| gladekeel(&[&["--server", &server], arguments].concat());
    let shown = run(&["settings", "get"]);
    assert_eq!((shown.code, shown.out.as_str()), (0, "beta = 1.2\nidle_s = 15\n"));
    let json = run(&["--json", "settings", "get"]);
    assert_eq!((json.code, json.out.trim_end()), (0, SETTINGS));
    let set = run(&["settings", "set", "beta=1.5"]);
    assert_eq!((set.code, set.out.as_str()), (0, "beta = 1.5\n"));
    let status = run(&["status"]);
    assert_eq!(status.code, 0);
    assert!(status.out.ends_with("machines: none\n"), "{}", status.out);
}

#[test]
fn refusals_exit_with_1_and_say_why() {
    let server = server();
    for (arguments, message) in [
        (["settings", "set", "beta=9"], "gladekeel: beta: must be a number from 1.01 to 2 (400)\n"),
        (["drain", "n-1", "--json"], "gladekeel: n-1: no such machine (404)\n"),
        (["jobs", "show", "job-1"], "gladekeel: trouble (503); try again\n"),
        (["jobs", "submit", "/none"], "gladekeel: /none: No such file or directory (os error 2)\n"),
    ] {
        let outcome = gladekeel(&[&["--server", &server], &arguments[..]].concat());
        assert_eq!((outcome.code, outcome.err.as_str()), (1, message));
        assert_eq!(outcome.out, "");
    }
}

#[test]
fn wrong_use_exits_with_2() {
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
        assert_eq!(outcome.code, 2, "{arguments:?}: {}", outcome.err);
        assert!(!outcome.err.is_empty() && outcome.out.is_empty(), "{arguments:?}");
    }
}

#[test]
fn an_unreachable_server_exits_with_3() {
    // A port that was free a moment ago.
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = free.local_addr().unwrap();
    drop(free);
    for arguments in [&["status"][..], &["--json", "machines"], &["jobs", "show", "job-1"]] {
        let server = addr.to_string();
        let outcome = gladekeel(&[&["--server", &server], arguments].concat());
        assert_eq!((outcome.code, outcome.out.as_str()), (3, ""));
        let message = format!("gladekeel: cannot reach {addr}: Connection refused");
        assert!(outcome.err.starts_with(&message), "{}", outcome.err);
        assert_eq!(outcome.err.lines().count(), 1, "{}", outcome.err);
    }
}
