//! Runs a [`Node`] in a process: sockets, a clock and outgoing calls.
//!
//! The node itself does no I/O. The shell turns requests, frames, outcomes of calls and
//! ticks into [`Event`]s, and executes the [`Action`]s that the node returns.
//!
//! | module | concern |
//! | --- | --- |
//! | `listeners` | listening sockets, the HTTP server for users and workers |
//! | `requests` | HTTP requests that wait for the node's reply |
//! | `peer_connections` | frames from and to the other controllers |
//! | `outgoing_calls` | calls to the store, the cloud and workers |
//! | `tick_loop` | ticks of the clock, the wait at startup until the node is ready to serve |
//!
//! # Tasks, shutdown and cancellation
//!
//! All tasks run on one thread. The tasks that run for the life of the process (tick loop, accept
//! loop for peers, one sender per peer) belong to a [`JoinSet`] in [`run`] and are aborted when the
//! future of [`run`] is dropped. The accept loop owns the tasks of accepted connections in the same
//! way. The task of an outgoing call is detached and ends at the latest when the call times out.
//! There is no graceful shutdown, and none is needed: the process may be killed at any time,
//! because all durable state is in the store ("State" in `docs/architecture.md`).

mod listeners;
mod outgoing_calls;
mod peer_connections;
mod requests;
mod tick_loop;

pub use listeners::ListenError;

use crate::{
    node::{Action, Event, Node},
    socket_budget::{SocketBudget, SocketUsage},
};
use gladekeel_http::ConnectionCounts;
use gladekeel_wire::settings::Settings;
use outgoing_calls::OutgoingCalls;
use peer_connections::PeerSenders;
use requests::PendingRequests;
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::task::{JoinSet, spawn_local};

/// State that the tasks of the process share.
struct Shell {
    node: RefCell<Node>,
    started_at: Instant,
    requests: PendingRequests,
    calls: OutgoingCalls,
    peers: PeerSenders,
}

/// Runs a node until the returned future is dropped. Must be called inside a `LocalSet` or a
/// local runtime.
///
/// # Errors
///
/// [`ListenError`] if one of the node's addresses cannot be bound.
pub async fn run(settings: Settings, seed: u64) -> Result<(), ListenError> {
    let sockets = SocketBudget::new(&settings.deployment.limits);
    let user_listener = listeners::bind_user_listener(settings.listen, sockets.inbound)?;
    let peer_listener = listeners::bind_peer_listener(settings.peer_listen).await?;
    let mut tasks = JoinSet::new();
    let shell = Rc::new(Shell::new(&settings, &sockets, seed, &mut tasks));
    tracing::info!(node = settings.node, listen = %settings.listen, "started");
    let server = listeners::user_server(user_listener, &settings, &sockets);
    tasks.spawn_local(peer_connections::accept_loop(peer_listener, Rc::clone(&shell)));
    tasks.spawn_local(tick_loop::run(Rc::clone(&shell), sockets, server.counts()));
    tick_loop::wait_until_ready_to_serve(&shell).await;
    server.run(move |request| requests::respond(Rc::clone(&shell), request)).await;
    Ok(())
}

impl Shell {
    fn new(
        settings: &Settings,
        sockets: &SocketBudget,
        seed: u64,
        tasks: &mut JoinSet<()>,
    ) -> Shell {
        Shell {
            started_at: Instant::now(),
            requests: PendingRequests::default(),
            calls: OutgoingCalls::new(&settings.services, sockets.worker_calls),
            peers: PeerSenders::spawn(&settings.peers, sockets.peer_queue_capacity(), tasks),
            node: RefCell::new(Node::new(settings.clone(), seed, unix_time_s())),
        }
    }

    /// The time on the node's clock, in seconds since the process started.
    fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Passes the time of day to the node.
    fn set_wall_clock(&self) {
        let now = self.now_s();
        self.node.borrow_mut().set_wall_clock(now, unix_time_s());
    }

    /// The number of open connections by use. `inbound` counts the inbound connections.
    fn socket_usage(&self, inbound: &ConnectionCounts) -> SocketUsage {
        SocketUsage {
            users: inbound.of_class(listeners::USERS),
            workers: inbound.of_class(listeners::WORKERS),
            unclassified: inbound.unclassified(),
            worker_calls: self.calls.worker_connections(),
            peers: self.peers.connections().open(),
        }
    }

    /// Passes an event to the node and executes the actions that the node returns.
    fn handle(self: &Rc<Self>, event: Event) {
        let now = self.now_s();
        let actions = self.node.borrow_mut().handle(now, event);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Reply { id, reply } => self.requests.complete(id, reply),
            Action::SendToPeer { peer, frame } => self.peers.send(peer, frame),
            Action::CallStore { call, request, timeout_s } => {
                self.spawn_call(timeout_s, async move |shell, timeout| {
                    let outcome = shell.calls.call_store(&request, timeout).await;
                    shell.handle(Event::Store { call, outcome });
                });
            }
            Action::CallCloud { call, request, timeout_s } => {
                self.spawn_call(timeout_s, async move |shell, timeout| {
                    let outcome = shell.calls.call_cloud(&request, timeout).await;
                    shell.handle(Event::Cloud { call, outcome });
                });
            }
            Action::CallWorker { call, request, timeout_s } => {
                self.spawn_call(timeout_s, async move |shell, timeout| {
                    let outcome = shell.calls.call_worker(&request, timeout).await;
                    shell.handle(Event::Worker { call, outcome });
                });
            }
        }
    }

    /// Spawns the task of an outgoing call. `call` must complete within the timeout that it is
    /// given.
    fn spawn_call<F>(self: &Rc<Self>, timeout_s: f64, call: F)
    where
        F: AsyncFnOnce(Rc<Shell>, Duration) + 'static,
    {
        let shell = Rc::clone(self);
        spawn_local(async move { call(shell, Duration::from_secs_f64(timeout_s)).await });
    }
}

/// The time of day, in seconds of Unix time.
fn unix_time_s() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
