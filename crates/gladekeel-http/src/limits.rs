//! Limits on the resources of a server that clients may use.

use std::time::Duration;

/// Time that a client has to send its first request before its connection may be evicted. A refused
/// client has the same time to send a request, after which the server responds even without one.
pub(crate) const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);

/// The limits of a server. Each field documents what happens to a client that exceeds the limit.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections. For a new connection beyond this number, the connection
    /// that has been idle for longest is evicted; if no connection may be evicted, the new
    /// connection gets a 503 response and is closed.
    pub max_connections: usize,
    /// Maximum number of connections that are being refused, in addition to `max_connections`. A
    /// further connection is closed without a response.
    pub max_refusals: usize,
    /// Maximum size of a request's head in bytes; a larger head gets a 431 response.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body in bytes; a larger body gets a 413 response.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request to the last; a slower request gets a 408
    /// response. A connection that sends nothing at all for this long after it was opened is
    /// closed.
    pub request_timeout: Duration,
    /// Maximum time between two requests of a connection, after which the connection is closed.
    pub idle_timeout: Duration,
    /// Time without a request after which a connection may be evicted for a new one. A connection
    /// that has not sent any request yet may be evicted after one second.
    pub evictable_after: Duration,
    /// Maximum time to write a response, after which the connection is closed.
    pub write_timeout: Duration,
}

impl Limits {
    /// The default limits of a server with at most `max_connections` open connections.
    pub fn for_connections(max_connections: usize) -> Limits {
        Limits {
            max_connections,
            max_refusals: max_connections / 32 + 4,
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024,
            request_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
            evictable_after: Duration::from_secs(15),
            write_timeout: Duration::from_secs(10),
        }
    }
}
