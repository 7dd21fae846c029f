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

/// Lower bound of the idle time after which a connection may be evicted.
const MIN_EVICTABLE_AFTER: Duration = Duration::from_secs(15);
/// Idle time after which a connection may be evicted, in heartbeat intervals.
const EVICTABLE_AFTER_INTERVALS: f64 = 2.0;

/// A listening address of the controller that could not be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {addr} ({setting}): {source}")]
pub struct ListenError {
    /// The address that could not be bound.
    pub addr: SocketAddr,
    /// The field of the settings file that holds the address.
    pub setting: &'static str,
    /// Why the address could not be bound.
    pub source: io::Error,
}

/// Binds the listener for users and workers.
///
/// `backlog` should be the maximum number of inbound connections, because all workers may
/// connect at once after a restart.
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

/// Binds the listener for the other controllers.
pub(super) async fn bind_peer_listener(addr: SocketAddr) -> Result<TcpListener, ListenError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|source| ListenError { addr, setting: "mesh_addr", source })
}

/// Creates the HTTP server for users, operators and workers.
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

/// Idle time after which a connection may be evicted. It is longer than the pauses of a healthy
/// client: workers send nothing between heartbeats, and users send nothing between polls.
fn evictable_after(heartbeat_interval_s: f64) -> Duration {
    let idle_s = EVICTABLE_AFTER_INTERVALS * heartbeat_interval_s;
    Duration::from_secs_f64(idle_s.max(MIN_EVICTABLE_AFTER.as_secs_f64()))
}
