//! Connections between controllers, which carry frames ([`gladekeel_wire::mesh`]).
//!
//! Each controller opens one connection to each peer and only sends on it; frames are received
//! on the connections that the peers have opened. Frames are delivered on a best-effort basis: a
//! frame that cannot be sent soon is dropped, because it would be stale on arrival.

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

/// Maximum time to connect to a peer, and maximum time of a write to the connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next attempt to connect to a peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Size of a write, in bytes, at which no more queued frames are added to the write.
const MAX_WRITE_BYTES: usize = 64 * 1024;
/// Size of the read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum time to receive a frame's header, and again to receive the frame's payload. A connection
/// that exceeds this time is dead, because peers send a heartbeat every second.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of open connections that this controller has accepted from peers. Each peer needs
/// one connection; the remaining connections allow for those whose peer has disappeared without
/// closing them.
const MAX_ACCEPTED_CONNECTIONS: usize = 32;
/// Delay before the next attempt after accepting a connection has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Counter of the open connections from and to peers.
#[derive(Default)]
pub(super) struct ConnectionCounter(Cell<usize>);

impl ConnectionCounter {
    /// The number of open connections.
    pub(super) fn open(&self) -> usize {
        self.0.get()
    }

    /// Counts a connection as open until the returned guard is dropped.
    fn count(self: &Rc<Self>) -> CountedConnection {
        self.0.set(self.0.get() + 1);
        CountedConnection(Rc::clone(self))
    }
}

/// Guard of an open connection, which is counted until the guard is dropped.
struct CountedConnection(Rc<ConnectionCounter>);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        let counter = &self.0.0;
        counter.set(counter.get() - 1);
    }
}

/// The send queues of the peers. Each queue has a task that sends its frames.
pub(super) struct PeerSenders {
    queues: Vec<mpsc::Sender<Vec<u8>>>,
    connections: Rc<ConnectionCounter>,
}

impl PeerSenders {
    /// Spawns a sending task for each peer. Each send queue holds up to `queue_capacity` frames.
    pub(super) fn spawn(
        peers: &[Peer],
        queue_capacity: usize,
        tasks: &mut JoinSet<()>,
    ) -> PeerSenders {
        let connections = Rc::<ConnectionCounter>::default();
        let queues = peers.iter().map(|peer| {
            let (queue, frames) = mpsc::channel(queue_capacity);
            tasks.spawn_local(send_loop(peer.addr, frames, Rc::clone(&connections)));
            queue
        });
        PeerSenders { queues: queues.collect(), connections }
    }

    /// Queues a frame for the peer with index `peer` in the settings. The frame is dropped if the
    /// queue is full, which means that the peer is unreachable.
    pub(super) fn send(&self, peer: usize, frame: Vec<u8>) {
        let _ = self.queues[peer].try_send(frame);
    }

    /// The counter of open connections from and to peers.
    pub(super) fn connections(&self) -> &Rc<ConnectionCounter> {
        &self.connections
    }
}

/// Sends queued frames to a peer until the queue is closed, and reconnects whenever the
/// connection fails.
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
        // Frames that were queued while there was no connection are stale.
        while frames.try_recv().is_ok() {}
    }
}

/// Why [`send_frames`] stopped sending over a connection.
enum SendEnd {
    /// A write failed or timed out.
    ConnectionFailed,
    /// The send queue was dropped together with the shell.
    QueueClosed,
}

/// Sends queued frames over one connection until the connection fails or the queue is closed.
async fn send_frames(mut stream: TcpStream, frames: &mut mpsc::Receiver<Vec<u8>>) -> SendEnd {
    let _ = stream.set_nodelay(true);
    loop {
        let Some(mut bytes) = frames.recv().await else { return SendEnd::QueueClosed };
        // All queued frames are sent in one write, so that the peer wakes up only once.
        while bytes.len() < MAX_WRITE_BYTES
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

/// Accepts connections from peers and spawns a task for each that receives its frames. These
/// tasks are aborted when the returned future is dropped.
pub(super) async fn accept_loop(listener: TcpListener, shell: Rc<Shell>) {
    let mut readers = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while readers.try_join_next().is_some() {}
        if readers.len() < MAX_ACCEPTED_CONNECTIONS {
            let counted = shell.peers.connections().count();
            readers.spawn_local(read_loop(stream, counted, Rc::clone(&shell)));
        }
    }
}

/// Receives frames from one connection and passes them to the node until the connection fails.
async fn read_loop(stream: TcpStream, _counted: CountedConnection, shell: Rc<Shell>) {
    let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
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

/// Why a connection from a peer was closed.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("no complete frame within {READ_TIMEOUT:?}")]
    Timeout(#[from] Elapsed),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    InvalidFrame(#[from] InvalidFrame),
}

/// Reads one frame and returns the event that passes it to the node.
async fn read_frame(stream: &mut (impl AsyncRead + Unpin)) -> Result<Event, ReadError> {
    let mut header = [0; FrameHeader::SIZE];
    timeout(READ_TIMEOUT, stream.read_exact(&mut header)).await??;
    let (header, kind) = FrameHeader::read(&header)?;
    let mut payload = vec![0; header.payload_len.get() as usize];
    timeout(READ_TIMEOUT, stream.read_exact(&mut payload)).await??;
    Ok(Event::Peer { header, kind, payload })
}
