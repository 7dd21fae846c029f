//! Runs a [`Node`] in a process: sockets, a clock and outgoing calls.
//!
//! The node itself does no I/O. The shell turns requests, frames, outcomes of calls and
//! ticks into [`Event`]s, and executes the [`Action`]s that the node answers with.
//!
//! | module | concern |
//! | --- | --- |
//! | `listeners` | listening sockets, the server for users and workers |
//! | `requests` | HTTP requests until the node replies |
//! | `peer_connections` | frames from and to the other controllers |
//! | `outgoing_calls` | calls to the store, the cloud and workers |
//! | `tick_loop` | the clock |
//!
//! # Tasks, shutdown and cancellation
//!
//! Everything runs on one thread. The tasks that run for the life of the process (tick
//! loop, accept loop for peers, one sender per peer) belong to a [`JoinSet`] in [`run`] and
//! are aborted when its future is dropped; the accept loop owns the tasks of the
//! connections that it accepted in the same way. The task of an outgoing call is detached:
//! its timeout ends it. There is no graceful shutdown, and none is needed: the process may
//! be killed at any time, since all that must last is in the store (`docs/safety.md`).

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

/// What the tasks of the process share.
struct Shell {
    node: RefCell<Node>,
    started_at: Instant,
    requests: PendingRequests,
    calls: OutgoingCalls,
    peers: PeerSenders,
}

/// Runs a node until the future is dropped. Must be called inside a `LocalSet` or a local
/// runtime.
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
    tick_loop::wait_until_settled(&shell).await;
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
        let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Shell {
            started_at: Instant::now(),
            requests: PendingRequests::default(),
            calls: OutgoingCalls::new(&settings.services, sockets.worker_calls),
            peers: PeerSenders::spawn(&settings.peers, sockets.peer_queue(), tasks),
            node: RefCell::new(Node::new(settings.clone(), seed, wall_clock.as_secs_f64())),
        }
    }

    /// The node's time: seconds since the process started.
    fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    fn socket_usage(&self, inbound: &ConnectionCounts) -> SocketUsage {
        SocketUsage {
            users: inbound.of_class(listeners::USERS),
            workers: inbound.of_class(listeners::WORKERS),
            unclassified: inbound.unclassified(),
            worker_calls: self.calls.worker_connections(),
            peers: self.peers.connections().open(),
        }
    }

    /// Hands an event to the node and executes its actions.
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

    /// Starts the task of an outgoing call, which ends by its timeout.
    fn spawn_call<F>(self: &Rc<Self>, timeout_s: f64, call: F)
    where
        F: AsyncFnOnce(Rc<Shell>, Duration) + 'static,
    {
        let shell = Rc::clone(self);
        spawn_local(async move { call(shell, Duration::from_secs_f64(timeout_s)).await });
    }
}
