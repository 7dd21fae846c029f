//! The form in which requests to the store and the cloud leave the process.

/// An HTTP request, without its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method, such as `GET`.
    pub method: &'static str,
    /// The path with the query, percent-encoded.
    pub target: String,
    /// The body, which is JSON; empty if there is none.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// A `GET` request.
    pub fn get(target: impl Into<String>) -> HttpRequest {
        HttpRequest { method: "GET", target: target.into(), body: Vec::new() }
    }

    /// A `POST` request with a JSON body.
    pub fn post<T: serde::Serialize>(target: impl Into<String>, body: &T) -> HttpRequest {
        let body = serde_json::to_vec(body).expect("wire types have string keys only");
        HttpRequest { method: "POST", target: target.into(), body }
    }

    /// A `DELETE` request.
    pub fn delete(target: impl Into<String>) -> HttpRequest {
        HttpRequest { method: "DELETE", target: target.into(), body: Vec::new() }
    }
}
