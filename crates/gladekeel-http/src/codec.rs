//! Parsing and encoding of messages, without I/O.
//!
//! This module is public only for the tests of this crate; it is not part of the crate's API.

use crate::message::{Request, Response};
use bytes::{Buf, BytesMut};
use std::fmt::Write;

/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 64;
/// Maximum size of a response's head in bytes.
const MAX_RESPONSE_HEAD: usize = 64 * 1024;
/// Initial capacity in bytes for the head of a response, enough for a typical head.
const RESPONSE_HEAD_CAPACITY: usize = 160;

/// Why a request is rejected. The connection is closed after a rejection, because the start of the
/// next request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head is not HTTP/1.
    #[error("malformed request head: {0}")]
    Malformed(httparse::Error),
    /// `Content-Length` is not a decimal number, or is too large for `usize`.
    #[error("invalid Content-Length")]
    InvalidContentLength,
    /// The request has different values of `Content-Length`: proxies and servers could disagree
    /// about where the request ends (request smuggling).
    #[error("conflicting values of Content-Length")]
    ConflictingContentLength,
    /// The request has a `Transfer-Encoding`; a body needs a `Content-Length` instead.
    #[error("transfer encodings are not supported")]
    TransferEncoding,
    /// The request has more headers than the server accepts.
    #[error("more than {MAX_HEADERS} headers")]
    TooManyHeaders,
    /// The head exceeds [`Limits::max_head_bytes`](crate::Limits::max_head_bytes).
    #[error("head larger than the limit of {limit} bytes")]
    HeadTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body exceeds [`Limits::max_body_bytes`](crate::Limits::max_body_bytes).
    #[error("body of {size} bytes is larger than the limit of {limit} bytes")]
    BodyTooLarge {
        /// Size of the body in bytes, as announced by `Content-Length`.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The request was not complete within
    /// [`Limits::request_timeout`](crate::Limits::request_timeout).
    #[error("request not complete within {limit:?}")]
    Timeout {
        /// The time limit that was exceeded.
        limit: std::time::Duration,
    },
}

impl RequestError {
    /// The status code of the response to the rejected request.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Malformed(_)
            | RequestError::InvalidContentLength
            | RequestError::ConflictingContentLength => 400,
            RequestError::Timeout { .. } => 408,
            RequestError::TransferEncoding => 411,
            RequestError::BodyTooLarge { .. } => 413,
            RequestError::TooManyHeaders | RequestError::HeadTooLarge { .. } => 431,
        }
    }
}

/// Why a client cannot use a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The head is not HTTP/1, or has too many headers.
    #[error("malformed response: {0}")]
    Malformed(httparse::Error),
    /// The head exceeds 64 KiB.
    #[error("response head larger than the limit of {MAX_RESPONSE_HEAD} bytes")]
    HeadTooLarge,
    /// `Content-Length` is not a decimal number, or is too large for `usize`.
    #[error("invalid Content-Length in the response")]
    InvalidContentLength,
    /// The response has a `Transfer-Encoding`.
    #[error("transfer encodings are not supported")]
    TransferEncoding,
    /// The response has no `Content-Length`, although a body may follow.
    #[error("response without a Content-Length")]
    MissingContentLength,
    /// The whole response exceeds the client's limit.
    #[error("response of {size} bytes is larger than the limit of {limit} bytes")]
    TooLarge {
        /// Size of the head and the announced body in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
}

/// The complete head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// `GET`, `POST`, ...
    pub method: String,
    /// Path of the request target, without the query.
    pub path: String,
    /// Query of the request target, after the `?`; empty if there is none.
    pub query: String,
    /// Size of the body in bytes; 0 if there is none.
    pub content_length: usize,
    /// Whether the client wants the connection closed after the response.
    pub close: bool,
    /// Whether the client waits for a `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Size of the head in bytes.
    pub head_len: usize,
}

impl RequestHead {
    /// Removes the request from the front of the buffer, which must hold the whole request.
    pub fn take(self, buf: &mut BytesMut) -> Request {
        buf.advance(self.head_len);
        let body = buf.split_to(self.content_length).freeze();
        Request { method: self.method, path: self.path, query: self.query, body }
    }

    /// Size of the whole request in bytes.
    pub fn total_len(&self) -> usize {
        self.head_len + self.content_length
    }

    fn apply_header(
        &mut self,
        header: &httparse::Header<'_>,
        content_length: &mut Option<usize>,
    ) -> Result<(), RequestError> {
        if header.name.eq_ignore_ascii_case("content-length") {
            let length =
                parse_content_length(header.value).ok_or(RequestError::InvalidContentLength)?;
            if content_length.is_some_and(|other| other != length) {
                return Err(RequestError::ConflictingContentLength);
            }
            *content_length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(RequestError::TransferEncoding);
        } else if header.name.eq_ignore_ascii_case("connection") {
            self.close |= has_token(header.value, "close");
        } else if header.name.eq_ignore_ascii_case("expect") {
            self.expects_continue = has_token(header.value, "100-continue");
        }
        Ok(())
    }
}

/// Parses the head of a request; returns `None` if `buf` does not hold the complete head yet.
pub fn parse_request_head(
    buf: &[u8],
    max_head_bytes: usize,
) -> Result<Option<RequestHead>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(head_len)) if head_len <= max_head_bytes => head_len,
        Ok(httparse::Status::Partial) if buf.len() <= max_head_bytes => return Ok(None),
        Ok(_) => return Err(RequestError::HeadTooLarge { limit: max_head_bytes }),
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::TooManyHeaders),
        Err(error) => return Err(RequestError::Malformed(error)),
    };
    let target = parsed.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut head = RequestHead {
        method: parsed.method.unwrap_or("").into(),
        path: path.into(),
        query: query.into(),
        content_length: 0,
        close: is_http_1_0(parsed.version),
        expects_continue: false,
        head_len,
    };
    let mut content_length = None;
    for header in parsed.headers.iter() {
        head.apply_header(header, &mut content_length)?;
    }
    head.content_length = content_length.unwrap_or(0);
    Ok(Some(head))
}

/// The complete head of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Size of the head in bytes.
    pub head_len: usize,
    /// Size of the body in bytes.
    pub content_length: usize,
    /// Whether the server closes the connection after the response.
    pub close: bool,
}

impl ResponseHead {
    /// Size of the whole response in bytes.
    pub fn total_len(&self) -> usize {
        self.head_len + self.content_length
    }
}

/// Parses the head of a response; returns `None` if `buf` does not hold the complete head yet.
pub fn parse_response_head(buf: &[u8]) -> Result<Option<ResponseHead>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head_len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(head_len)) => head_len,
        Ok(httparse::Status::Partial) if buf.len() <= MAX_RESPONSE_HEAD => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(ResponseError::HeadTooLarge),
        Err(error) => return Err(ResponseError::Malformed(error)),
    };
    let status = parsed.code.unwrap_or(0);
    let mut close = is_http_1_0(parsed.version);
    let mut content_length = None;
    for header in parsed.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = parse_content_length(header.value);
            content_length = Some(length.ok_or(ResponseError::InvalidContentLength)?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(ResponseError::TransferEncoding);
        } else if header.name.eq_ignore_ascii_case("connection") {
            close |= has_token(header.value, "close");
        }
    }
    let content_length = match content_length {
        Some(length) => length,
        None if has_no_body(status) => 0,
        None => return Err(ResponseError::MissingContentLength),
    };
    Ok(Some(ResponseHead { status, head_len, content_length, close }))
}

/// Whether the version is HTTP/1.0, in which a connection closes after the response by default.
fn is_http_1_0(version: Option<u8>) -> bool {
    version == Some(0)
}

/// Whether responses with this status never have a body.
fn has_no_body(status: u16) -> bool {
    matches!(status, 204 | 304)
}

fn parse_content_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?.trim();
    // `usize::from_str` would accept a plus sign.
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Whether a comma-separated header value contains a token, ignoring the case of ASCII letters.
fn has_token(value: &[u8], token: &str) -> bool {
    std::str::from_utf8(value)
        .is_ok_and(|list| list.split(',').any(|item| item.trim().eq_ignore_ascii_case(token)))
}

/// Encodes a response. If `close` is set, a header announces that the server closes the connection
/// after the response.
pub fn encode_response(response: &Response, close: bool) -> BytesMut {
    let mut head = String::with_capacity(RESPONSE_HEAD_CAPACITY);
    // Writing to a `String` cannot fail.
    let _ = write!(
        head,
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.content_type,
        response.body.len()
    );
    if let Some(seconds) = response.retry_after {
        let _ = write!(head, "Retry-After: {seconds}\r\n");
    }
    head.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
    join(&head, &response.body)
}

/// Joins a head and a body in one buffer, so that both are sent with one write.
pub(crate) fn join(head: &str, body: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::with_capacity(head.len() + body.len());
    bytes.extend_from_slice(head.as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

fn reason_phrase(status: u16) -> &'static str {
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
