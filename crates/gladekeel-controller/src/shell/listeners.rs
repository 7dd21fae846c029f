//! Listening sockets, and the HTTP server for users, operators and workers.

use crate::{http_api::Route, socket_budget::SocketBudget};
use gladekeel_http::{ConnectionClasses, Limits, Server};
use gladekeel_wire::settings::Settings;
use std::{io, net::SocketAddr, time::Duration};
use tokio::net::{TcpListener, TcpSocket};

/// Class of connections from users, operators and health checks.
pub(super) const USERS: usize = 0;
/// Class of connections from workers.
pub(super) const WORKERS: usize = 1;

/// Minimum time without a request after which a connection may be evicted.
const MIN_EVICTABLE_AFTER: Duration = Duration::from_secs(15);
/// Heartbeat intervals without a request after which a connection may be evicted.
const EVICTABLE_AFTER_HEARTBEATS: f64 = 2.0;

/// One of the controller's own addresses cannot be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {addr} ({setting}): {source}")]
pub struct ListenError {
    /// The address.
    pub addr: SocketAddr,
    /// Field of the settings file that names the address.
    pub setting: &'static str,
    /// Why it cannot be bound.
    pub source: io::Error,
}

/// Binds the address for users and workers. The backlog holds every client that may be
/// served: after a restart all workers may connect at once.
pub(super) fn bind_user_listener(
    addr: SocketAddr,
    backlog: usize,
) -> Result<TcpListener, ListenError> {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(backlog.try_into().unwrap_or(u32::MAX))
    };
    bind().map_err(|source| ListenError { addr, setting: "bind", source })
}

/// Binds the address for the other controllers.
pub(super) async fn bind_peer_listener(addr: SocketAddr) -> Result<TcpListener, ListenError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|source| ListenError { addr, setting: "mesh_addr", source })
}

/// The server for users, operators and workers.
pub(super) fn user_server(
    listener: TcpListener,
    settings: &Settings,
    sockets: &SocketBudget,
) -> Server {
    let limits = Limits {
        evictable_after: evictable_after(settings.deployment.workers.heartbeat_interval_s),
        ..Limits::for_connections(sockets.inbound)
    };
    let classes = ConnectionClasses {
        reserved: vec![sockets.reserved_for_users, sockets.reserved_for_workers],
        classify: |request| match Route::parse(&request.method, &request.path) {
            Route::Heartbeat => WORKERS,
            _ => USERS,
        },
    };
    Server::new(listener, limits).with_classes(classes)
}

/// Time without a request after which a connection may be evicted: workers send nothing
/// between heartbeats, users nothing between polls.
fn evictable_after(heartbeat_interval_s: f64) -> Duration {
    let heartbeats_s = EVICTABLE_AFTER_HEARTBEATS * heartbeat_interval_s;
    Duration::from_secs_f64(heartbeats_s.max(MIN_EVICTABLE_AFTER.as_secs_f64()))
}
