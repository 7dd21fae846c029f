//! Reading and writing messages.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;

/// Headers that a message may have; more is malformed.
const MAX_HEADERS: usize = 64;

/// A request as the server hands it to its handler.
#[derive(Debug, Clone)]
pub struct Request {
    /// `GET`, `POST`, ...
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// What follows the `?`, or nothing.
    pub query: String,
    /// The body.
    pub body: Bytes,
}

/// A response that the server sends.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Seconds after which the client should come back, if it should.
    pub retry_after: Option<u32>,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// A JSON response.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Response {
        Response { status, content_type: "application/json", retry_after: None, body: body.into() }
    }

    /// A plain-text response.
    pub fn text(status: u16, body: impl Into<Bytes>) -> Response {
        Response {
            status,
            content_type: "text/plain; charset=utf-8",
            retry_after: None,
            body: body.into(),
        }
    }

    /// The same response with a `Retry-After`.
    pub fn after(mut self, seconds: u32) -> Response {
        self.retry_after = Some(seconds);
        self
    }

    pub(crate) fn encode(&self, close: bool) -> BytesMut {
        let mut head = String::with_capacity(160);
        // Writing to a String cannot fail.
        let _ = write!(
            head,
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
            self.status,
            reason(self.status),
            self.content_type,
            self.body.len()
        );
        if let Some(seconds) = self.retry_after {
            let _ = write!(head, "Retry-After: {seconds}\r\n");
        }
        head.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
        let mut out = BytesMut::with_capacity(head.len() + self.body.len());
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// A response that the client received.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// The head of a request, once complete.
pub(crate) struct RequestHead {
    pub method: String,
    pub path: String,
    pub query: String,
    pub length: usize,
    pub close: bool,
    pub expects_continue: bool,
    head_len: usize,
}

/// What is wrong with a message: the status to answer with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Malformed(pub u16);

fn content_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?.trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

fn has_token(value: &[u8], token: &str) -> bool {
    std::str::from_utf8(value)
        .is_ok_and(|v| v.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
}

/// Parses a request head if `buf` holds one whole.
pub(crate) fn request_head(buf: &[u8], max_head: usize) -> Result<Option<RequestHead>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() > max_head => return Err(Malformed(431)),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Malformed(431)),
        Err(_) => return Err(Malformed(400)),
    };
    if head_len > max_head {
        return Err(Malformed(431));
    }
    let (target, method) = (parsed.path.unwrap_or("/"), parsed.method.unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut head = RequestHead {
        method: method.into(),
        path: path.into(),
        query: query.into(),
        length: 0,
        close: parsed.version == Some(0),
        expects_continue: false,
        head_len,
    };
    let mut seen_length = None;
    for header in parsed.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = content_length(header.value).ok_or(Malformed(400))?;
            // Two lengths that differ are how requests get smuggled.
            if seen_length.is_some_and(|seen| seen != length) {
                return Err(Malformed(400));
            }
            seen_length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Malformed(411));
        } else if header.name.eq_ignore_ascii_case("connection") {
            head.close |= has_token(header.value, "close");
        } else if header.name.eq_ignore_ascii_case("expect") {
            head.expects_continue = has_token(header.value, "100-continue");
        }
    }
    head.length = seen_length.unwrap_or(0);
    Ok(Some(head))
}

impl RequestHead {
    /// Takes the request off the buffer, which must hold the whole body.
    pub fn take(self, buf: &mut BytesMut) -> Request {
        buf.advance(self.head_len);
        let body = buf.split_to(self.length).freeze();
        Request { method: self.method, path: self.path, query: self.query, body }
    }

    /// Bytes of the whole request.
    pub fn total(&self) -> usize {
        self.head_len + self.length
    }
}

/// The head of a response, once complete.
pub(crate) struct ReplyHead {
    pub status: u16,
    pub head_len: usize,
    pub length: usize,
    pub close: bool,
}

/// Parses a response head if `buf` holds one whole.
pub(crate) fn reply_head(buf: &[u8]) -> Result<Option<ReplyHead>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head_len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() > 64 * 1024 => return Err("head too long"),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err("malformed response"),
    };
    let status = parsed.code.unwrap_or(0);
    let mut length = None;
    let mut close = parsed.version == Some(0);
    for header in parsed.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            length = Some(content_length(header.value).ok_or("bad content length")?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err("transfer encodings are not supported");
        } else if header.name.eq_ignore_ascii_case("connection") {
            close |= has_token(header.value, "close");
        }
    }
    let length = match length {
        Some(length) => length,
        None if status == 204 || status == 304 => 0,
        None => return Err("response without a length"),
    };
    Ok(Some(ReplyHead { status, head_len, length, close }))
}

// Here and not under `tests/`: the parsers are private, and most of what they refuse cannot
// be told apart over a socket.
#[cfg(test)]
mod tests {
    use super::*;

    fn head(text: &str) -> Result<Option<RequestHead>, Malformed> {
        request_head(text.as_bytes(), 200)
    }

    #[test]
    fn request_heads() {
        let whole =
            head("POST /a?b=c HTTP/1.1\r\nContent-Length: 3\r\nConnection: Close\r\n\r\nxyz");
        let whole = whole.unwrap().unwrap();
        assert_eq!((whole.path.as_str(), whole.query.as_str()), ("/a", "b=c"));
        assert!(whole.close && whole.length == 3);
        assert!(head("GET / HTTP/1.1\r\nHost:").unwrap().is_none());
        let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(300));
        for (text, status) in [
            ("\u{1}\u{2}\r\n\r\n", 400),
            ("GET / HTTP/9.9\r\n\r\n", 400),
            ("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
            ("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
            ("GET / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400),
            ("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
            (long.as_str(), 431),
        ] {
            assert_eq!(head(text).err(), Some(Malformed(status)), "{text:?}");
        }
    }

    proptest::proptest! {
        #[test]
        fn any_bytes_are_survived(bytes: Vec<u8>) {
            let _ = request_head(&bytes, 100);
            let _ = reply_head(&bytes);
        }

        #[test]
        fn responses_read_back(status in 200u16..600, body: Vec<u8>, close: bool) {
            let bytes = Response::json(status, body.clone()).encode(close);
            let head = reply_head(&bytes).unwrap().unwrap();
            proptest::prop_assert_eq!((head.status, head.close), (status, close));
            proptest::prop_assert_eq!(&bytes[head.head_len..], &body[..]);
        }
    }
}
