//! Connections between controllers, over which frames ([`gladekeel_wire::mesh`]) go.
//!
//! Each controller opens one connection to each peer and only writes to it; it reads from
//! those that its peers have opened. Frames are best effort: what cannot be sent soon is
//! dropped, since it would be stale when it arrived.

use super::Shell;
use crate::node::Event;
use gladekeel_wire::{
    mesh::{FrameHeader, InvalidFrame},
    settings::Peer,
};
use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
    time::{error::Elapsed, sleep, timeout},
};

/// Maximum time to connect to a peer, or to write to its connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the next attempt to connect to a peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Queued frames are written together up to this size in bytes.
const MAX_WRITE: usize = 64 * 1024;
/// Size of the read buffer of a connection, in bytes.
const READ_BUFFER: usize = 16 * 1024;
/// A connection without a frame for this long is dead: peers send heartbeats every second.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum of accepted connections. Each peer needs one; the others allow for connections
/// whose peer has gone without closing them.
const MAX_ACCEPTED: usize = 32;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of open connections from and to peers.
#[derive(Default)]
pub(super) struct ConnectionCounter(Cell<usize>);

impl ConnectionCounter {
    pub(super) fn open(&self) -> usize {
        self.0.get()
    }

    /// Counts a connection until the guard is dropped.
    fn count(self: &Rc<Self>) -> CountedConnection {
        self.0.set(self.0.get() + 1);
        CountedConnection(Rc::clone(self))
    }
}

/// Counts an open connection while it lives.
struct CountedConnection(Rc<ConnectionCounter>);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        let counter = &self.0.0;
        counter.set(counter.get() - 1);
    }
}

/// The queues of frames to the peers, each with a task that sends them.
pub(super) struct PeerSenders {
    queues: Vec<mpsc::Sender<Vec<u8>>>,
    connections: Rc<ConnectionCounter>,
}

impl PeerSenders {
    /// Starts a sender for each peer, with queues of `queue_len` frames.
    pub(super) fn spawn(peers: &[Peer], queue_len: usize, tasks: &mut JoinSet<()>) -> PeerSenders {
        let connections = Rc::<ConnectionCounter>::default();
        let queues = peers.iter().map(|peer| {
            let (queue, frames) = mpsc::channel(queue_len);
            tasks.spawn_local(send_loop(peer.addr, frames, Rc::clone(&connections)));
            queue
        });
        PeerSenders { queues: queues.collect(), connections }
    }

    /// Queues a frame for the peer with this index in the settings; drops it if the queue is
    /// full, which means that the peer is unreachable.
    pub(super) fn send(&self, peer: usize, frame: Vec<u8>) {
        let _ = self.queues[peer].try_send(frame);
    }

    /// Counts the connections from and to peers.
    pub(super) fn connections(&self) -> &Rc<ConnectionCounter> {
        &self.connections
    }
}

/// Sends queued frames to a peer, and reconnects whenever the connection fails.
async fn send_loop(
    addr: SocketAddr,
    mut frames: mpsc::Receiver<Vec<u8>>,
    connections: Rc<ConnectionCounter>,
) {
    loop {
        if let Ok(Ok(stream)) = timeout(SEND_TIMEOUT, TcpStream::connect(addr)).await {
            let _counted = connections.count();
            match send_frames(stream, &mut frames).await {
                SendEnd::ConnectionFailed => {}
                SendEnd::QueueClosed => return,
            }
        }
        sleep(RECONNECT_DELAY).await;
        // Frames that were queued meanwhile are stale.
        while frames.try_recv().is_ok() {}
    }
}

/// Why no more frames are sent over a connection.
enum SendEnd {
    /// A write failed or timed out.
    ConnectionFailed,
    /// The shell was dropped.
    QueueClosed,
}

/// Sends queued frames over one connection.
async fn send_frames(mut stream: TcpStream, frames: &mut mpsc::Receiver<Vec<u8>>) -> SendEnd {
    let _ = stream.set_nodelay(true);
    loop {
        let Some(mut bytes) = frames.recv().await else { return SendEnd::QueueClosed };
        // Queued frames go out in one write, and the peer wakes up once for all of them.
        while bytes.len() < MAX_WRITE
            && let Ok(frame) = frames.try_recv()
        {
            bytes.extend_from_slice(&frame);
        }
        let written = timeout(SEND_TIMEOUT, stream.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            return SendEnd::ConnectionFailed;
        }
    }
}

/// Accepts connections of peers and reads their frames. Its tasks end with it.
pub(super) async fn accept_loop(listener: TcpListener, shell: Rc<Shell>) {
    let mut readers = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while readers.try_join_next().is_some() {}
        if readers.len() < MAX_ACCEPTED {
            let counted = shell.peers.connections().count();
            readers.spawn_local(read_loop(stream, counted, Rc::clone(&shell)));
        }
    }
}

/// Reads frames of one connection until it fails.
async fn read_loop(stream: TcpStream, _counted: CountedConnection, shell: Rc<Shell>) {
    let mut stream = BufReader::with_capacity(READ_BUFFER, stream);
    loop {
        match read_frame(&mut stream).await {
            Ok(event) => shell.handle(event),
            Err(error) => {
                tracing::debug!(%error, "peer connection closed");
                return;
            }
        }
    }
}

/// Why a connection of a peer is closed.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("no complete frame within {READ_TIMEOUT:?}")]
    Timeout(#[from] Elapsed),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    InvalidFrame(#[from] InvalidFrame),
}

async fn read_frame(stream: &mut (impl AsyncRead + Unpin)) -> Result<Event, ReadError> {
    let mut header = [0; FrameHeader::SIZE];
    timeout(READ_TIMEOUT, stream.read_exact(&mut header)).await??;
    let (header, kind) = FrameHeader::read(&header)?;
    let mut payload = vec![0; header.payload_len.get() as usize];
    timeout(READ_TIMEOUT, stream.read_exact(&mut payload)).await??;
    Ok(Event::Peer { header, kind, payload })
}
