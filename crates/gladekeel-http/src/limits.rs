//! What a client may use up of a server.

use std::time::Duration;

/// Time that a client has for its first request before its connection may be evicted, and
/// that a refused client has to send a request before it is answered anyway.
pub(crate) const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);

/// The limits of a server. Each says what happens to a client that exceeds it.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum of open connections. Beyond it the connection that has been idle for longest
    /// is evicted; if none is evictable the new one is answered 503 and closed.
    pub connections: usize,
    /// Maximum of connections that are being refused, beside `connections`. One more is
    /// closed without a response.
    pub refusals: usize,
    /// Maximum size of a request's head in bytes; a larger one is answered 431.
    pub head: usize,
    /// Maximum size of a request's body in bytes; a larger one is answered 413.
    pub body: usize,
    /// Maximum time from the first byte of a request to its last; a slower one is answered
    /// 408. A connection that sends nothing at all for this long is closed.
    pub request: Duration,
    /// Maximum time between two requests of a connection; it is closed then.
    pub idle: Duration,
    /// Time without a request after which a connection may be evicted for a new one.
    pub evictable_after: Duration,
    /// Maximum time to write a response; the connection is closed then.
    pub write: Duration,
}

impl Limits {
    /// The defaults for a server that may hold so many connections.
    pub fn for_connections(connections: usize) -> Limits {
        Limits {
            connections,
            refusals: connections / 32 + 4,
            head: 16 * 1024,
            body: 64 * 1024,
            request: Duration::from_secs(10),
            idle: Duration::from_secs(120),
            evictable_after: Duration::from_secs(15),
            write: Duration::from_secs(10),
        }
    }
}
