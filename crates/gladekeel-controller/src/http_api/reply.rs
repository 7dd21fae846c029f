//! Replies to HTTP requests, independent of the HTTP transport.

use gladekeel_wire::job::ErrorBody;
use serde::Serialize;

/// The node's reply to an HTTP request. The shell sends it as an HTTP response.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Retry-After` header in seconds; `None` if the header is absent.
    pub retry_after: Option<u32>,
    /// The body, which is JSON unless [`Reply::plain`] is set.
    pub body: Vec<u8>,
    /// Whether the body is plain text, such as the metrics, instead of JSON.
    pub plain: bool,
}

impl Reply {
    /// A reply whose body is `body` serialised as JSON.
    pub fn json<T: Serialize>(status: u16, body: &T) -> Reply {
        let body = serde_json::to_vec(body).expect("wire types always serialise");
        Reply::from_json_bytes(status, body)
    }

    /// A reply whose body is JSON that has already been serialised.
    pub fn from_json_bytes(status: u16, body: Vec<u8>) -> Reply {
        Reply { status, retry_after: None, body, plain: false }
    }

    /// A successful reply with a body of plain text.
    pub fn text(body: String) -> Reply {
        Reply { status: 200, retry_after: None, body: body.into_bytes(), plain: true }
    }

    /// An error reply with a message for the client.
    pub fn error(status: u16, message: impl Into<String>) -> Reply {
        Reply::json(status, &ErrorBody { error: message.into() })
    }

    /// A reply with status 503 that tells the client to retry after `retry_after_s` seconds.
    pub fn retry_later(retry_after_s: u32, message: &str) -> Reply {
        Reply { retry_after: Some(retry_after_s), ..Reply::error(503, message) }
    }
}
