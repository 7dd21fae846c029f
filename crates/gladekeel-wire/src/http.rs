//! HTTP requests to the key-value store and the cloud provider, before they are sent.

/// An HTTP request without the address of its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// HTTP method, such as `GET`.
    pub method: &'static str,
    /// Path and query, percent-encoded.
    pub target: String,
    /// JSON body; empty if the request has none.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Creates a `GET` request without a body.
    pub fn get(target: impl Into<String>) -> HttpRequest {
        HttpRequest { method: "GET", target: target.into(), body: Vec::new() }
    }

    /// Creates a `POST` request with `body` as JSON.
    pub fn post<T: serde::Serialize>(target: impl Into<String>, body: &T) -> HttpRequest {
        let body = serde_json::to_vec(body).expect("maps in wire types have string keys");
        HttpRequest { method: "POST", target: target.into(), body }
    }

    /// Creates a `DELETE` request without a body.
    pub fn delete(target: impl Into<String>) -> HttpRequest {
        HttpRequest { method: "DELETE", target: target.into(), body: Vec::new() }
    }
}
