//! The server and the client over real sockets.

use gladekeel_http::{Client, ClientError, Limits, Response, Server};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
};

const PATIENCE: Duration = Duration::from_secs(30);

/// Starts a server that answers with the request's path and body.
async fn echo(connections: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let limits = Limits { connections, ..Limits::for_sockets(100) };
    spawn_local(Server::new(listener, limits).run(|request| async move {
        let mut body = request.path.into_bytes();
        body.extend_from_slice(&request.body);
        Response::text(200, body)
    }));
    addr
}

/// Sends bytes and returns all that comes back until the server closes.
async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // The server may close before it has read all of it.
    let _ = stream.write_all(bytes).await;
    let mut out = Vec::new();
    let _ = stream.read_to_end(&mut out).await;
    String::from_utf8_lossy(&out).into_owned()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn junk_is_answered_and_the_connection_closed() {
    run(async {
        let addr = echo(50).await;
        let large = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", 64 * 1024 + 1);
        let headers = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(100));
        for (bytes, status) in [
            ("\u{0}\u{1}junk\r\n\r\n", "400"),
            ("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"),
            ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "411"),
            (large.as_str(), "413"),
            (headers.as_str(), "431"),
        ] {
            let answer = raw(addr, bytes.as_bytes()).await;
            assert_eq!(answer.split(' ').nth(1), Some(status), "{answer}");
        }
        let whole = "GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx";
        let answer = raw(addr, whole.as_bytes()).await;
        assert!(answer.contains("\r\n\r\n/aHTTP/1.1 200") && answer.ends_with("/bx"), "{answer}");
    });
}

#[test]
fn the_client_tells_unsent_from_unanswered() {
    run(async {
        let client = Client::new(echo(50).await, 2);
        for _ in 0..3 {
            let reply = client.send("POST", "/p", b"body", PATIENCE).await.unwrap();
            assert_eq!((reply.status, &reply.body[..]), (200, &b"/pbody"[..]));
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closing = Client::new(listener.local_addr().unwrap(), 1);
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 10]).await;
        });
        let error = closing.send("GET", "/", b"", PATIENCE).await.unwrap_err();
        assert!(matches!(error, ClientError::NoAnswer(_)), "{error}");
        let error = closing.send("GET", "/", b"", PATIENCE).await.unwrap_err();
        assert!(matches!(error, ClientError::NotSent(_)), "{error}");
    });
}

#[test]
fn beyond_its_connections_the_server_says_so() {
    run(async {
        let addr = echo(1).await;
        let client = Client::new(addr, 1);
        client.send("GET", "/", b"", PATIENCE).await.unwrap();
        let answer = raw(addr, b"").await;
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("Retry-After"), "{answer}");
    });
}
