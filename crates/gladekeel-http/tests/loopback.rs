//! The server and the clients over loopback sockets.

use gladekeel_http::{Client, ClientError, ConnectionClasses, Limits, Pool, Response, Server};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
};

/// Timeout of requests that are expected to get a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a server with a single class of clients. The server responds with the path and body of
/// the request.
async fn start_echo_server(connections: usize) -> SocketAddr {
    start_server(
        Limits::for_connections(connections),
        ConnectionClasses { reserved: vec![0], classify: |_| 0 },
    )
    .await
}

/// Starts a server with these limits and classes, which responds like [`start_echo_server`].
async fn start_server(limits: Limits, classes: ConnectionClasses) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = Server::new(listener, limits).with_classes(classes);
    spawn_local(server.run(|request| async move {
        let mut body = request.path.into_bytes();
        body.extend_from_slice(&request.body);
        Response::text(200, body)
    }));
    addr
}

/// Sends bytes and returns everything that is received before the server closes the connection.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // The server may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Runs a test on a single-threaded runtime that supports `spawn_local`.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A request that cannot be parsed or exceeds a limit gets an error status, and the connection is
/// closed, because the start of the next request is unknown. Complete requests that arrive together
/// are all served.
#[test]
fn a_malformed_or_oversized_request_gets_an_error_status_and_the_connection_is_closed() {
    run(async {
        let addr = start_echo_server(50).await;
        let large = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", 64 * 1024 + 1);
        let headers = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(100));
        for (bytes, status) in [
            ("\u{0}\u{1}junk\r\n\r\n", "400"),
            ("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"),
            ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "411"),
            (large.as_str(), "413"),
            (headers.as_str(), "431"),
        ] {
            let response = send_raw(addr, bytes.as_bytes()).await;
            assert_eq!(response.split(' ').nth(1), Some(status), "{response}");
        }
        let pipelined = "GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx";
        let response = send_raw(addr, pipelined.as_bytes()).await;
        assert!(
            response.contains("\r\n\r\n/aHTTP/1.1 200") && response.ends_with("/bx"),
            "{response}"
        );
    });
}

/// A client that never completes its request must not keep one of the server's connections: the
/// request gets a 408 response once it has timed out, and the connection is released.
#[test]
fn an_incomplete_request_gets_408_and_its_connection_is_released() {
    run(async {
        let limits =
            Limits { request_timeout: Duration::from_millis(50), ..Limits::for_connections(1) };
        let addr =
            start_server(limits, ConnectionClasses { reserved: vec![0], classify: |_| 0 }).await;
        for partial in [
            "POST /p HTTP/1.1\r\nContent-Le",
            "POST /p HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo",
            // A complete request gets its response before the incomplete one times out.
            "GET /complete HTTP/1.1\r\n\r\nGET /par",
        ] {
            // The client keeps the connection open until the server closes it.
            let response = send_raw(addr, partial.as_bytes()).await;
            let statuses = response.matches("HTTP/1.1 ").count();
            let has_complete_request = partial.contains("/complete");
            assert_eq!(statuses, 1 + usize::from(has_complete_request), "{response}");
            assert_eq!(response.starts_with("HTTP/1.1 200"), has_complete_request, "{response}");
            assert!(response.contains("HTTP/1.1 408"), "{response}");
        }
        // The only connection of the server is available again.
        let response = send_raw(addr, b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

/// The caller may retry a request that was not sent, but not one that may have been executed. A
/// server that closes the connection without a response must therefore cause `NoResponse`, and a
/// server that cannot be reached `NotSent`.
#[test]
fn the_client_distinguishes_an_unsent_request_from_a_missing_response() {
    run(async {
        let client = Client::new(start_echo_server(50).await, 2);
        for _ in 0..3 {
            let response = client.send("POST", "/p", b"body", REQUEST_TIMEOUT).await.unwrap();
            assert_eq!((response.status, &response.body[..]), (200, &b"/pbody"[..]));
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closing = Client::new(listener.local_addr().unwrap(), 1);
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 10]).await;
        });
        let error = closing.send("GET", "/", b"", REQUEST_TIMEOUT).await.unwrap_err();
        assert!(matches!(error, ClientError::NoResponse(_)), "{error}");
        let error = closing.send("GET", "/", b"", REQUEST_TIMEOUT).await.unwrap_err();
        assert!(matches!(error, ClientError::NotSent(_)), "{error}");
    });
}

/// A client that is refused must receive the response, not a connection reset, so that the client
/// knows when to retry.
#[test]
fn a_connection_beyond_the_limit_gets_503_with_retry_after() {
    run(async {
        let addr = start_echo_server(1).await;
        let client = Client::new(addr, 1);
        client.send("GET", "/", b"", REQUEST_TIMEOUT).await.unwrap();
        let response = send_raw(addr, b"GET / HTTP/1.1\r\n\r\n").await;
        assert!(
            response.starts_with("HTTP/1.1 503") && response.contains("Retry-After"),
            "{response}"
        );
    });
}

/// Classes for a server with three or more connections: one connection is reserved for requests to
/// `/b`, and one for all other requests, such as those to `/a`.
fn two_classes() -> ConnectionClasses {
    ConnectionClasses {
        reserved: vec![1, 1],
        classify: |request| usize::from(request.path == "/b"),
    }
}

/// One class of clients opens as many connections as it can. The reserved connection of the other
/// class must stay available, and connections that were admitted stay open.
#[test]
fn a_class_cannot_use_the_connections_reserved_for_another_class() {
    run(async {
        for (busy, other) in [("/a", "/b"), ("/b", "/a")] {
            let addr = start_server(Limits::for_connections(3), two_classes()).await;
            let mut admitted = Vec::new();
            for _ in 0..2 {
                let client = Client::new(addr, 1);
                let response = client.send("GET", busy, b"", REQUEST_TIMEOUT).await.unwrap();
                assert_eq!(response.status, 200);
                admitted.push(client);
            }
            let response =
                Client::new(addr, 0).send("GET", busy, b"", REQUEST_TIMEOUT).await.unwrap();
            assert_eq!(
                response.status, 503,
                "the busy class already uses its own and the shared connection"
            );
            let response =
                Client::new(addr, 0).send("GET", other, b"", REQUEST_TIMEOUT).await.unwrap();
            assert_eq!(
                response.status, 200,
                "the reserved connection of the other class is available"
            );
            for client in admitted {
                let response = client.send("GET", busy, b"", REQUEST_TIMEOUT).await.unwrap();
                assert_eq!(response.status, 200, "an admitted connection stays open");
            }
        }
    });
}

/// All connections that the class may use are open and idle. A further client must be served, and
/// the connection that has been idle for longest is evicted for it.
#[test]
fn the_longest_idle_connection_is_evicted_for_a_new_one() {
    run(async {
        let limits = Limits { evictable_after: Duration::ZERO, ..Limits::for_connections(3) };
        let addr = start_server(limits, two_classes()).await;
        let clients: Vec<Client> = (0..3).map(|_| Client::new(addr, 1)).collect();
        for client in &clients {
            let response = client.send("GET", "/a", b"", REQUEST_TIMEOUT).await.unwrap();
            assert_eq!(response.status, 200);
        }
        // The third client evicted the connection of the first client. The first client reconnects
        // now, which evicts the connection of the second client.
        for client in [&clients[2], &clients[0], &clients[2]] {
            let response = client.send("GET", "/a", b"", REQUEST_TIMEOUT).await.unwrap();
            assert_eq!(response.status, 200);
        }
    });
}

/// A pool that opened more connections than its maximum would exhaust the process's sockets. The
/// pool must close the longest idle connection for a new one, fail if all are in use, and release
/// the connections of requests that were cancelled.
#[test]
fn a_pool_never_exceeds_its_maximum_of_open_connections() {
    run(async {
        let pool = Pool::new(2);
        // Each server accepts one connection, so that another client gets a 503 response while the
        // pool keeps its connection open.
        let mut addrs = Vec::new();
        for _ in 0..3 {
            addrs.push(start_echo_server(1).await);
        }
        for addr in &addrs {
            let response = pool.send(*addr, "GET", "/", b"", REQUEST_TIMEOUT).await.unwrap();
            assert_eq!(response.status, 200);
        }
        for (addr, status) in addrs.iter().zip([200, 503, 503]) {
            let response =
                Client::new(*addr, 0).send("GET", "/", b"", REQUEST_TIMEOUT).await.unwrap();
            assert_eq!(
                response.status, status,
                "the pool has closed only its longest idle connection"
            );
        }
        // Servers that accept connections and never respond.
        let unresponsive = [
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        ];
        let send_to_unresponsive = async |index: usize| {
            let addr = unresponsive[index].local_addr().unwrap();
            pool.send(addr, "GET", "/", b"", REQUEST_TIMEOUT).await
        };
        tokio::select! {
            biased;
            _ = async { tokio::join!(send_to_unresponsive(0), send_to_unresponsive(1)) } => {
                panic!("requests to unresponsive servers must not complete")
            }
            refused = pool.send(addrs[0], "GET", "/", b"", REQUEST_TIMEOUT) => {
                assert!(
                    matches!(refused, Err(ClientError::NotSent(_))),
                    "all connections of the pool are in use"
                );
            }
        }
        let response = pool.send(addrs[0], "GET", "/", b"", REQUEST_TIMEOUT).await.unwrap();
        assert_eq!(response.status, 200, "cancelled requests release their connections");
    });
}

#[test]
fn open_connections_are_counted_by_class() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = Server::new(listener, Limits::for_connections(10)).with_classes(two_classes());
        let counts = server.counts();
        spawn_local(server.run(|_| async { Response::text(200, "") }));
        let clients: Vec<Client> = (0..3).map(|_| Client::new(addr, 1)).collect();
        for (client, path) in clients.iter().zip(["/a", "/b", "/b"]) {
            client.send("GET", path, b"", REQUEST_TIMEOUT).await.unwrap();
        }
        assert_eq!((counts.of_class(0), counts.of_class(1), counts.of_class(2)), (1, 2, 0));
        let without_request = TcpStream::connect(addr).await.unwrap();
        while counts.unclassified() == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!((counts.open(), counts.unclassified()), (4, 1));
        drop((clients, without_request));
        while counts.open() > 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!((counts.of_class(0), counts.of_class(1), counts.unclassified()), (0, 0, 0));
    });
}

/// Each read is a system call. With buffers that started at 64 bytes, the heartbeat of a worker
/// took six reads, and these reads took a sixth of the capacity of a small processor.
#[test]
fn a_request_of_usual_size_is_read_with_one_system_call() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = Server::new(listener, Limits::for_connections(10));
        let counts = server.counts();
        spawn_local(server.run(|_| async { Response::text(200, "") }));
        let client = Client::new(addr, 1);
        const REQUESTS: u64 = 20;
        for _ in 0..REQUESTS {
            client.send("POST", "/", &[b' '; 1500], REQUEST_TIMEOUT).await.unwrap();
        }
        assert_eq!(counts.reads(), REQUESTS);
    });
}
