//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
    /// Port of the client's end of the connection.
    pub client_port: u16,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|(k, _)| *k == name).map(|(_, v)| unescape(v)).next()
    }
}

fn unescape(text: &str) -> String {
    let b = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < b.len() {
        let code = (b[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match code.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(c) => {
                out.push(c);
                i += 3;
            }
            None => {
                out.push(b[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// The answer of a handler: a status and a JSON body, or none, which closes the connection.
pub type Answer = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let client_port = stream.peer_addr().ok()?.port();
    let mut buf = Vec::new();
    loop {
        let (head, body) = read_message(&mut stream, &mut buf, None)?;
        let mut words = head.lines().next()?.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let (path, query) = (path.to_owned(), query.to_owned());
        let (status, body) = handler(Request { method, path, query, body, client_port })?;
        let text = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    let fields = head.lines().filter_map(|l| l.split_once(':'));
    fields.filter(|(k, _)| k.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_owned()).next()
}

fn read_message(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    deadline: Option<Instant>,
) -> Option<(String, String)> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if buf.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buf[end + 4..end + 4 + length]).into_owned();
                buf.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        if let Some(deadline) = deadline {
            let left = deadline.checked_duration_since(Instant::now())?;
            stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        }
        let n = stream.read(&mut chunk).ok()?;
        if n == 0 {
            return None;
        }
        buf.extend_from_slice(&chunk[..n]);
    }
}

/// A client that keeps its connection.
#[derive(Default)]
pub struct Client {
    stream: Option<(u16, TcpStream)>,
}

impl Client {
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Returns the status and the body; none without a response in time.
    pub fn send(
        &mut self,
        port: u16,
        method: &str,
        target: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, String)> {
        let deadline = Instant::now() + timeout;
        let kept = self.stream.take().filter(|(p, _)| *p == port).map(|(_, s)| s);
        let is_kept = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => {
                let addr = std::net::SocketAddr::from(([127, 0, 0, 1], port));
                TcpStream::connect_timeout(&addr, timeout).ok()?
            }
        };
        let _ = stream.set_nodelay(true);
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = exchange(&mut stream, &request, deadline);
        if answer.is_none() && is_kept && Instant::now() < deadline {
            // The server may have closed the idle connection; the callers' requests are idempotent.
            let left = deadline - Instant::now();
            return self.send(port, method, target, body, left);
        }
        let (head, body) = answer?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        if header(&head, "connection").is_none_or(|v| !v.eq_ignore_ascii_case("close")) {
            self.stream = Some((port, stream));
        }
        Some((status, body))
    }
}

fn exchange(stream: &mut TcpStream, request: &str, deadline: Instant) -> Option<(String, String)> {
    stream.write_all(request.as_bytes()).ok()?;
    read_message(stream, &mut Vec::new(), Some(deadline))
}
