//! Replies to HTTP requests, without their transport.

use gladekeel_wire::job::ErrorBody;
use serde::Serialize;

/// An HTTP response, without its transport.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The `Retry-After` header in seconds.
    pub retry_after: Option<u32>,
    /// The body: JSON unless [`Reply::plain`] is set.
    pub body: Vec<u8>,
    /// Whether the body is plain text, as metrics are.
    pub plain: bool,
}

impl Reply {
    /// A reply with a JSON body.
    pub fn json<T: Serialize>(status: u16, body: &T) -> Reply {
        let body = serde_json::to_vec(body).expect("wire types always serialise");
        Reply::from_json_bytes(status, body)
    }

    /// A reply whose body is JSON that has already been serialised.
    pub fn from_json_bytes(status: u16, body: Vec<u8>) -> Reply {
        Reply { status, retry_after: None, body, plain: false }
    }

    /// A successful reply in plain text.
    pub fn text(body: String) -> Reply {
        Reply { status: 200, retry_after: None, body: body.into_bytes(), plain: true }
    }

    /// An error with a message for the client.
    pub fn error(status: u16, message: impl Into<String>) -> Reply {
        Reply::json(status, &ErrorBody { error: message.into() })
    }

    /// 503 with `Retry-After`: the client should try again after that many seconds.
    pub fn retry_later(retry_after_s: u32, message: &str) -> Reply {
        Reply { retry_after: Some(retry_after_s), ..Reply::error(503, message) }
    }
}
