//! Sockets and a clock for a [`Node`].

use crate::{
    http_api::{Reply, Route},
    leader::{WorkerOutcome, WorkerRequest},
    node::{Action, Event, Node, RequestId},
    socket_budget::{SocketBudget, SocketUse},
};
use gladekeel_http::{
    Client, ClientError, ConnectionClasses, ConnectionCounts, Limits, Pool, Request, Response,
    Server,
};
use gladekeel_store::StoreOutcome;
use gladekeel_wire::{
    mesh::FrameHeader,
    settings::{Peer, Settings},
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, oneshot},
    task::spawn_local,
    time::{MissedTickBehavior, timeout},
};

/// Time between ticks.
const TICK: Duration = Duration::from_millis(50);
/// Time that a process that has just started takes at most to find out who leads, before it
/// serves.
const SETTLE: Duration = Duration::from_secs(2);

/// Idle connections that are kept to the state service.
const STATE_CONNECTIONS: usize = 8;
/// Idle connections that are kept to the cloud.
const CLOUD_CONNECTIONS: usize = 4;
/// Time to connect to another controller, or to send it a frame.
const MESH_SEND: Duration = Duration::from_secs(2);
/// Frames that wait are sent together up to this many bytes.
const MESH_WRITE: usize = 64 * 1024;
/// Bytes that are read from another controller at once.
const MESH_READ: usize = 16 * 1024;
/// Pause before another controller is connected to again.
const MESH_RECONNECT: Duration = Duration::from_millis(500);
/// Hellos come every second: a connection that is silent for this long is dead.
const MESH_SILENCE: Duration = Duration::from_secs(60);
/// Connections from other controllers; one each is enough, a few more allow for ones that
/// hang.
const MESH_CONNECTIONS: usize = 32;
/// Pause after a connection from another controller could not be accepted.
const MESH_ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// An idle connection of a client may be closed for another one after this long at least.
const EVICTABLE_AFTER_S: f64 = 15.0;
/// The class of connections from users, operators and health checks.
const USERS: usize = 0;
/// The class of connections from workers.
const WORKERS: usize = 1;

struct Shell {
    node: RefCell<Node>,
    start: Instant,
    answers: RefCell<HashMap<RequestId, oneshot::Sender<Reply>>>,
    next_request: Cell<RequestId>,
    state: Client,
    cloud: Client,
    mesh: Vec<mpsc::Sender<Vec<u8>>>,
    mesh_connections: Rc<Cell<usize>>,
    workers: Pool,
}

/// Counts an open connection to or from another controller.
struct MeshConnection(Rc<Cell<usize>>);

impl MeshConnection {
    fn open(count: &Rc<Cell<usize>>) -> MeshConnection {
        count.set(count.get() + 1);
        MeshConnection(count.clone())
    }
}

impl Drop for MeshConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Runs a node until the process ends. Must be called inside a `LocalSet`.
pub async fn run(settings: Settings, seed: u64) -> io::Result<()> {
    let sockets = SocketBudget::new(&settings.deployment.limits);
    let users = listen(settings.listen, sockets.served)?;
    let peers = TcpListener::bind(settings.peer_listen).await?;
    let shell = Rc::new(Shell::new(&settings, &sockets, seed));
    tracing::info!(node = settings.node, listen = %settings.listen, "started");
    let server = user_server(users, &settings, &sockets);
    spawn_local(accept_peers(peers, shell.clone()));
    spawn_local(tick(shell.clone(), sockets, server.counts()));
    settle(&shell).await;
    server
        .run(move |request| {
            let shell = shell.clone();
            async move { shell.answer(request).await }
        })
        .await;
    Ok(())
}

/// A listener whose queue holds everyone who may be served: all workers may come at once.
fn listen(addr: SocketAddr, queue: usize) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(queue.try_into().unwrap_or(u32::MAX))
}

/// Waits until the node knows the store and who leads, but not for long. After all controllers
/// have ended, thousands of workers come at once: taken first, they would keep a small
/// processor busy for seconds before anybody leads. They wait in the listener's queue.
async fn settle(shell: &Rc<Shell>) {
    let settled = async {
        while !shell.node.borrow().is_settled(shell.start.elapsed().as_secs_f64()) {
            tokio::time::sleep(TICK).await;
        }
    };
    if timeout(SETTLE, settled).await.is_err() {
        tracing::info!("serving without knowing who leads");
    }
}

/// The server for users, operators and workers.
fn user_server(listener: TcpListener, settings: &Settings, sockets: &SocketBudget) -> Server {
    // Workers are silent between reports, users between polls.
    let evictable_s =
        (2.0 * settings.deployment.workers.heartbeat_interval_s).max(EVICTABLE_AFTER_S);
    let limits = Limits {
        evictable_after: Duration::from_secs_f64(evictable_s),
        ..Limits::for_connections(sockets.served)
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

/// Lets the node act on the time that passes.
async fn tick(shell: Rc<Shell>, sockets: SocketBudget, served: Rc<ConnectionCounts>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shell.workers.resize(sockets.calls_beside(served.open()));
        shell.node.borrow_mut().record_sockets(shell.socket_use(&served));
        shell.tick();
    }
}

impl Shell {
    fn new(settings: &Settings, sockets: &SocketBudget, seed: u64) -> Shell {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mesh_connections = Rc::default();
        let connect = |peer: &Peer| {
            let (sender, receiver) = mpsc::channel(sockets.mesh_queue());
            spawn_local(send_frames(peer.addr, receiver, Rc::clone(&mesh_connections)));
            sender
        };
        Shell {
            start: Instant::now(),
            answers: RefCell::default(),
            next_request: Cell::new(0),
            state: Client::new(settings.services.store, STATE_CONNECTIONS),
            cloud: Client::new(settings.services.cloud, CLOUD_CONNECTIONS),
            mesh: settings.peers.iter().map(connect).collect(),
            mesh_connections,
            workers: Pool::new(sockets.worker_calls),
            node: RefCell::new(Node::new(settings.clone(), seed, epoch.as_secs_f64())),
        }
    }

    fn socket_use(&self, served: &ConnectionCounts) -> SocketUse {
        SocketUse {
            users: served.of_class(USERS),
            workers: served.of_class(WORKERS),
            unknown: served.unclassified(),
            calls: self.workers.open(),
            mesh: self.mesh_connections.get(),
        }
    }

    /// Lets time pass; measures it if the node made a round of decisions.
    fn tick(self: &Rc<Self>) {
        let rounds =
            || self.node.borrow().leader().map(|leader| leader.counters().scheduling_cycles);
        let before = rounds();
        let start = Instant::now();
        self.handle(Event::Tick);
        let after = rounds();
        if after.is_some() && after != before {
            self.node.borrow_mut().record_scheduling_cycle(start.elapsed().as_secs_f64());
        }
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let now = self.start.elapsed().as_secs_f64();
        let actions = self.node.borrow_mut().handle(now, event);
        for action in actions {
            self.act(action);
        }
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Reply { id, reply } => {
                if let Some(sender) = self.answers.borrow_mut().remove(&id) {
                    // The client may have gone meanwhile.
                    let _ = sender.send(reply);
                }
            }
            Action::CallStore { call, request, timeout_s: limit_s } => {
                let shell = self.clone();
                spawn_local(async move {
                    let (method, target, body) = request.encode();
                    let limit = Duration::from_secs_f64(limit_s);
                    let outcome = match shell.state.send(method, &target, &body, limit).await {
                        Ok(reply) => request.decode(reply.status, &reply.body),
                        // Never sent, so never carried out.
                        Err(ClientError::NotSent(_)) => StoreOutcome::Unavailable,
                        Err(ClientError::NoAnswer(_)) => StoreOutcome::Unknown,
                    };
                    shell.handle(Event::Store { call, outcome });
                });
            }
            Action::CallCloud { call, request, timeout_s: limit_s } => {
                let shell = self.clone();
                spawn_local(async move {
                    let (method, target, body) = request.encode();
                    let limit = Duration::from_secs_f64(limit_s);
                    let outcome = match shell.cloud.send(method, &target, &body, limit).await {
                        Ok(reply) => request.decode(reply.status, &reply.body),
                        Err(ClientError::NotSent(_)) => crate::cloud_api::CloudOutcome::Unavailable,
                        Err(ClientError::NoAnswer(_)) => crate::cloud_api::CloudOutcome::Unknown,
                    };
                    shell.handle(Event::Cloud { call, outcome });
                });
            }
            Action::CallWorker { call, request, timeout_s: limit_s } => {
                let shell = self.clone();
                spawn_local(async move {
                    let limit = Duration::from_secs_f64(limit_s);
                    let outcome = shell.command(&request, limit).await;
                    shell.handle(Event::Worker { call, outcome });
                });
            }
            Action::SendToPeer { peer, frame } => {
                // A full queue means that the peer is out of reach; what it would
                // get later would be stale.
                let _ = self.mesh[peer].try_send(frame);
            }
        }
    }

    /// Sends commands to a worker.
    async fn command(&self, request: &WorkerRequest, limit: Duration) -> WorkerOutcome {
        let Ok(addr) = request.addr.parse() else { return WorkerOutcome::NotSent };
        let sent = match &request.body {
            Some(commands) => {
                let body = serde_json::to_vec(commands).expect("wire types always serialise");
                self.workers.send(addr, "POST", "/do", &body, limit).await
            }
            None => self.workers.send(addr, "GET", "/inspect", &[], limit).await,
        };
        match sent {
            Ok(reply) if reply.status == 200 => serde_json::from_slice(&reply.body)
                .map_or(WorkerOutcome::Unknown, WorkerOutcome::Done),
            Ok(reply) if matches!(reply.status, 400 | 409) => WorkerOutcome::NotExecuted,
            Ok(_) | Err(ClientError::NoAnswer(_)) => WorkerOutcome::Unknown,
            Err(ClientError::NotSent(_)) => WorkerOutcome::NotSent,
        }
    }

    async fn answer(self: Rc<Self>, request: Request) -> Response {
        let id = self.next_request.get();
        self.next_request.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.answers.borrow_mut().insert(id, sender);
        self.handle(Event::Http {
            id,
            method: request.method,
            path: request.path,
            body: request.body.to_vec(),
        });
        match receiver.await {
            Ok(reply) if reply.plain => Response::text(reply.status, reply.body),
            Ok(reply) => Response {
                retry_after: reply.retry_after,
                ..Response::json(reply.status, reply.body)
            },
            Err(_) => Response::text(500, "no answer\n"),
        }
    }
}

/// Sends frames to a peer, connecting anew whenever that fails.
async fn send_frames(
    addr: SocketAddr,
    mut frames: mpsc::Receiver<Vec<u8>>,
    connections: Rc<Cell<usize>>,
) {
    loop {
        if let Ok(Ok(stream)) = timeout(MESH_SEND, TcpStream::connect(addr)).await {
            let _open = MeshConnection::open(&connections);
            if send_until_failure(stream, &mut frames).await.is_none() {
                return;
            }
        }
        tokio::time::sleep(MESH_RECONNECT).await;
        // What waited meanwhile is stale.
        while frames.try_recv().is_ok() {}
    }
}

/// Sends frames over a connection until it fails; none if there will be no more frames.
async fn send_until_failure(
    mut stream: TcpStream,
    frames: &mut mpsc::Receiver<Vec<u8>>,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    loop {
        let mut bytes = frames.recv().await?;
        // What has gathered goes out in one write: the other side wakes once for all of it.
        while bytes.len() < MESH_WRITE
            && let Ok(frame) = frames.try_recv()
        {
            bytes.extend_from_slice(&frame);
        }
        if !matches!(timeout(MESH_SEND, stream.write_all(&bytes)).await, Ok(Ok(()))) {
            return Some(());
        }
    }
}

/// Accepts peers and reads their frames.
async fn accept_peers(listener: TcpListener, shell: Rc<Shell>) {
    let accepted = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(MESH_ACCEPT_RETRY).await;
            continue;
        };
        if accepted.get() >= MESH_CONNECTIONS {
            continue;
        }
        let counted = MeshConnection::open(&accepted);
        let open = MeshConnection::open(&shell.mesh_connections);
        let shell = shell.clone();
        spawn_local(async move {
            if let Err(error) = read_frames(stream, &shell).await {
                tracing::debug!(%error, "a controller's connection ended");
            }
            drop((counted, open));
        });
    }
}

async fn read_frames(stream: TcpStream, shell: &Rc<Shell>) -> io::Result<()> {
    let mut stream = BufReader::with_capacity(MESH_READ, stream);
    let mut head = [0; FrameHeader::SIZE];
    loop {
        timeout(MESH_SILENCE, stream.read_exact(&mut head)).await??;
        let (header, kind) = FrameHeader::read(&head)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        let mut payload = vec![0; header.payload_len.get() as usize];
        timeout(MESH_SILENCE, stream.read_exact(&mut payload)).await??;
        shell.handle(Event::Peer { header, kind, payload });
    }
}
