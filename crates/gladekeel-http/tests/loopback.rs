//! The server and the client over real sockets.

use gladekeel_http::{Client, ClientError, ConnectionClasses, Limits, Pool, Response, Server};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
};

const PATIENCE: Duration = Duration::from_secs(30);

/// Starts a server that answers with the request's path and body.
async fn echo(connections: usize) -> SocketAddr {
    serve(
        Limits::for_connections(connections),
        ConnectionClasses { reserved: vec![0], classify: |_| 0 },
    )
    .await
}

async fn serve(limits: Limits, classes: ConnectionClasses) -> SocketAddr {
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
fn a_request_that_stays_half_sent_is_answered_and_its_place_given_back() {
    run(async {
        let limits = Limits { request: Duration::from_millis(50), ..Limits::for_connections(1) };
        let addr = serve(limits, ConnectionClasses { reserved: vec![0], classify: |_| 0 }).await;
        for half in [
            "POST /p HTTP/1.1\r\nContent-Le",
            "POST /p HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo",
            // One that is whole is answered before the half of the next.
            "GET /whole HTTP/1.1\r\n\r\nGET /ha",
        ] {
            // The connection is kept open: the server ends it.
            let answer = raw(addr, half.as_bytes()).await;
            let statuses = answer.matches("HTTP/1.1 ").count();
            let whole = half.contains("/whole");
            assert_eq!(statuses, 1 + usize::from(whole), "{answer}");
            assert_eq!(answer.starts_with("HTTP/1.1 200"), whole, "{answer}");
            assert!(answer.contains("HTTP/1.1 408"), "{answer}");
        }
        // The only place is free again.
        let answer = raw(addr, b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
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
        let answer = raw(addr, b"GET / HTTP/1.1\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("Retry-After"), "{answer}");
    });
}

/// Three places, one of them kept for each of the parties `/a` and `/b`.
fn two_classes() -> ConnectionClasses {
    ConnectionClasses {
        reserved: vec![1, 1],
        classify: |request| usize::from(request.path == "/b"),
    }
}

#[test]
fn no_class_locks_another_one_out() {
    run(async {
        for (crowd, other) in [("/a", "/b"), ("/b", "/a")] {
            let addr = serve(Limits::for_connections(3), two_classes()).await;
            let mut inside = Vec::new();
            for _ in 0..2 {
                let client = Client::new(addr, 1);
                let reply = client.send("GET", crowd, b"", PATIENCE).await.unwrap();
                assert_eq!(reply.status, 200);
                inside.push(client);
            }
            let reply = Client::new(addr, 0).send("GET", crowd, b"", PATIENCE).await.unwrap();
            assert_eq!(reply.status, 503, "the crowd has its places");
            let reply = Client::new(addr, 0).send("GET", other, b"", PATIENCE).await.unwrap();
            assert_eq!(reply.status, 200, "the other class has its own");
            for client in inside {
                let reply = client.send("GET", crowd, b"", PATIENCE).await.unwrap();
                assert_eq!(reply.status, 200, "who is inside stays");
            }
        }
    });
}

#[test]
fn the_longest_idle_connection_makes_room() {
    run(async {
        let limits = Limits { evictable_after: Duration::ZERO, ..Limits::for_connections(3) };
        let addr = serve(limits, two_classes()).await;
        let clients: Vec<Client> = (0..3).map(|_| Client::new(addr, 1)).collect();
        for client in &clients {
            let reply = client.send("GET", "/a", b"", PATIENCE).await.unwrap();
            assert_eq!(reply.status, 200);
        }
        // The third took the place of the first, which connects anew for that of the second.
        for client in [&clients[2], &clients[0], &clients[2]] {
            let reply = client.send("GET", "/a", b"", PATIENCE).await.unwrap();
            assert_eq!(reply.status, 200);
        }
    });
}

#[test]
fn a_pool_holds_no_more_than_it_may() {
    run(async {
        let pool = Pool::new(2);
        // Each server has one place: a connection that the pool keeps shows.
        let mut addrs = Vec::new();
        for _ in 0..3 {
            addrs.push(echo(1).await);
        }
        for addr in &addrs {
            let reply = pool.send(*addr, "GET", "/", b"", PATIENCE).await.unwrap();
            assert_eq!(reply.status, 200);
        }
        for (addr, status) in addrs.iter().zip([200, 503, 503]) {
            let reply = Client::new(*addr, 0).send("GET", "/", b"", PATIENCE).await.unwrap();
            assert_eq!(reply.status, status, "the oldest went, the others are kept");
        }
        // Servers that accept and never answer.
        let hanging = [
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        ];
        let hang = async |at: usize| {
            let addr = hanging[at].local_addr().unwrap();
            pool.send(addr, "GET", "/", b"", PATIENCE).await
        };
        tokio::select! {
            biased;
            _ = async { tokio::join!(hang(0), hang(1)) } => panic!("nobody answers"),
            full = pool.send(addrs[0], "GET", "/", b"", PATIENCE) => {
                assert!(matches!(full, Err(ClientError::NotSent(_))), "all are in use");
            }
        }
        let reply = pool.send(addrs[0], "GET", "/", b"", PATIENCE).await.unwrap();
        assert_eq!(reply.status, 200, "requests that were given up give their places back");
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
            client.send("GET", path, b"", PATIENCE).await.unwrap();
        }
        assert_eq!((counts.of_class(0), counts.of_class(1), counts.of_class(2)), (1, 2, 0));
        let silent = TcpStream::connect(addr).await.unwrap();
        while counts.unclassified() == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!((counts.open(), counts.unclassified()), (4, 1));
        drop((clients, silent));
        while counts.open() > 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!((counts.of_class(0), counts.of_class(1), counts.unclassified()), (0, 0, 0));
    });
}

#[test]
fn a_usual_request_is_taken_with_one_read() {
    // Each read is a system call: with buffers that began at 64 bytes a worker's report
    // took six, a sixth of what a small processor can do.
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = Server::new(listener, Limits::for_connections(10));
        let counts = server.counts();
        spawn_local(server.run(|_| async { Response::text(200, "") }));
        let client = Client::new(addr, 1);
        const REQUESTS: u64 = 20;
        for _ in 0..REQUESTS {
            client.send("POST", "/", &[b' '; 1500], PATIENCE).await.unwrap();
        }
        assert_eq!(counts.reads(), REQUESTS);
    });
}
