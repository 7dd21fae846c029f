//! Requests and responses, independent of their encoding and transport.

use bytes::Bytes;

/// A request as the server passes it to its handler.
#[derive(Debug, Clone)]
pub struct Request {
    /// `GET`, `POST`, ...
    pub method: String,
    /// Path of the request target, without the query.
    pub path: String,
    /// Query of the request target, after the `?`; empty if there is none.
    pub query: String,
    /// Body; empty if there is none.
    pub body: Bytes,
}

/// A response that the server sends.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Seconds after which the client should retry, sent as `Retry-After`; `None` sends no such
    /// header.
    pub retry_after: Option<u32>,
    /// Body; empty if there is none.
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

    /// Returns this response with a `Retry-After` header of `seconds`.
    pub fn with_retry_after(mut self, seconds: u32) -> Response {
        self.retry_after = Some(seconds);
        self
    }
}

/// A response as a client received it.
#[derive(Debug, Clone)]
pub struct ReceivedResponse {
    /// Status code.
    pub status: u16,
    /// Body; empty if there is none.
    pub body: Bytes,
}
