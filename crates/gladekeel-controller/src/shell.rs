//! Sockets and a clock for a [`Node`].

use crate::{
    api::Route,
    leader::{DirectCall, DirectOutcome},
    node::{Action, Event, Node, Reply, RequestId},
    sockets::Sockets,
};
use gladekeel_http::{Client, ClientError, Limits, Parties, Pool, Request, Response, Server};
use gladekeel_store::Outcome;
use gladekeel_wire::{
    mesh::{Header, Kind},
    settings::Settings,
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
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::spawn_local,
    time::timeout,
};

/// Time between ticks.
const TICK: Duration = Duration::from_millis(50);
/// Frames that wait for a controller that cannot be reached; newer ones are dropped.
const MESH_QUEUE: usize = 1024;

struct Shell {
    node: RefCell<Node>,
    start: Instant,
    answers: RefCell<HashMap<RequestId, oneshot::Sender<Reply>>>,
    next_request: Cell<RequestId>,
    state: Client,
    cloud: Client,
    mesh: Vec<mpsc::Sender<Vec<u8>>>,
    workers: Pool,
}

/// Runs a node until the process ends. Must be called inside a `LocalSet`.
pub async fn run(settings: Settings, seed: u64) -> io::Result<()> {
    let users = TcpListener::bind(settings.listen).await?;
    let peers = TcpListener::bind(settings.peer_listen).await?;
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
    let mesh = settings
        .peers
        .iter()
        .map(|peer| {
            let (sender, receiver) = mpsc::channel(MESH_QUEUE);
            spawn_local(speak(peer.addr, receiver));
            sender
        })
        .collect();
    let sockets = Sockets::of(&settings.params.limits);
    let shell = Rc::new(Shell {
        start: Instant::now(),
        answers: RefCell::default(),
        next_request: Cell::new(0),
        state: Client::new(settings.services.state, 8),
        cloud: Client::new(settings.services.cloud, 4),
        mesh,
        workers: Pool::new(sockets.calls),
        node: RefCell::new(Node::new(settings.clone(), seed, epoch)),
    });
    tracing::info!(node = settings.node, listen = %settings.listen, "started");
    let limits = Limits {
        // Workers are silent between reports, users between polls.
        spare: Duration::from_secs_f64((2.0 * settings.params.workers.report_s).max(15.0)),
        ..Limits::for_connections(sockets.served)
    };
    let parties = Parties {
        kept: vec![sockets.kept_users, sockets.kept_workers],
        of: |request| usize::from(Route::of(&request.method, &request.path) == Route::Checkin),
    };
    let server = Server::new(users, limits).with_parties(parties);
    let served = server.open();
    spawn_local(hear(peers, shell.clone()));
    spawn_local({
        let shell = shell.clone();
        async move {
            let mut ticks = tokio::time::interval(TICK);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                shell.workers.resize(sockets.calls_beside(served.get()));
                shell.handle(Event::Tick);
            }
        }
    });
    server
        .run(move |request| {
            let shell = shell.clone();
            async move { shell.answer(request).await }
        })
        .await;
    Ok(())
}

impl Shell {
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
            Action::State { call, request, limit_s } => {
                let shell = self.clone();
                spawn_local(async move {
                    let (method, target, body) = request.encode();
                    let limit = Duration::from_secs_f64(limit_s);
                    let outcome = match shell.state.send(method, &target, &body, limit).await {
                        Ok(reply) => request.decode(reply.status, &reply.body),
                        // Never sent, so never carried out.
                        Err(ClientError::NotSent(_)) => Outcome::Refused,
                        Err(ClientError::NoAnswer(_)) => Outcome::Unknown,
                    };
                    shell.handle(Event::State { call, outcome });
                });
            }
            Action::Cloud { call, request, limit_s } => {
                let shell = self.clone();
                spawn_local(async move {
                    let (method, target, body) = request.encode();
                    let limit = Duration::from_secs_f64(limit_s);
                    let outcome = match shell.cloud.send(method, &target, &body, limit).await {
                        Ok(reply) => request.decode(reply.status, &reply.body),
                        Err(ClientError::NotSent(_)) => crate::cloud::CloudOutcome::Trouble,
                        Err(ClientError::NoAnswer(_)) => crate::cloud::CloudOutcome::Unknown,
                    };
                    shell.handle(Event::Cloud { call, outcome });
                });
            }
            Action::Direct { call, request, limit_s } => {
                let shell = self.clone();
                spawn_local(async move {
                    let limit = Duration::from_secs_f64(limit_s);
                    let outcome = shell.command(&request, limit).await;
                    shell.handle(Event::Direct { call, outcome });
                });
            }
            Action::Mesh { peer, frame } => {
                // A full queue means that the peer is out of reach; what it would
                // get later would be stale.
                let _ = self.mesh[peer].try_send(frame);
            }
        }
    }

    /// Sends commands to a worker.
    async fn command(&self, request: &DirectCall, limit: Duration) -> DirectOutcome {
        let Ok(addr) = request.addr.parse() else { return DirectOutcome::NotSent };
        let sent = match &request.body {
            Some(commands) => {
                let body = serde_json::to_vec(commands).expect("wire types always serialise");
                self.workers.send(addr, "POST", "/do", &body, limit).await
            }
            None => self.workers.send(addr, "GET", "/inspect", &[], limit).await,
        };
        match sent {
            Ok(reply) if reply.status == 200 => serde_json::from_slice(&reply.body)
                .map_or(DirectOutcome::Unknown, DirectOutcome::Done),
            Ok(reply) if matches!(reply.status, 400 | 409) => DirectOutcome::NotExecuted,
            Ok(_) | Err(ClientError::NoAnswer(_)) => DirectOutcome::Unknown,
            Err(ClientError::NotSent(_)) => DirectOutcome::NotSent,
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
async fn speak(addr: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    let limit = Duration::from_secs(2);
    loop {
        let stream = match timeout(limit, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => Some(stream),
            _ => None,
        };
        if let Some(mut stream) = stream {
            let _ = stream.set_nodelay(true);
            loop {
                let Some(frame) = frames.recv().await else { return };
                match timeout(limit, stream.write_all(&frame)).await {
                    Ok(Ok(())) => {}
                    _ => break,
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        while frames.try_recv().is_ok() {}
    }
}

/// Accepts peers and reads their frames.
async fn hear(listener: TcpListener, shell: Rc<Shell>) {
    // One connection a peer is enough; a few more allow for ones that hang.
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if open.get() >= 32 {
            continue;
        }
        open.set(open.get() + 1);
        let (shell, open) = (shell.clone(), open.clone());
        spawn_local(async move {
            if let Err(error) = frames(stream, &shell).await {
                tracing::debug!(%error, "a controller's connection ended");
            }
            open.set(open.get() - 1);
        });
    }
}

async fn frames(mut stream: TcpStream, shell: &Rc<Shell>) -> io::Result<()> {
    // Hellos come every second; a minute of silence is a dead connection.
    let patience = Duration::from_secs(60);
    let mut head = [0; Header::SIZE];
    loop {
        timeout(patience, stream.read_exact(&mut head)).await??;
        let Some((header, kind)): Option<(Header, Kind)> = Header::read(&head) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let mut payload = vec![0; header.len.get() as usize];
        timeout(patience, stream.read_exact(&mut payload)).await??;
        shell.handle(Event::Mesh { header, kind, payload });
    }
}
