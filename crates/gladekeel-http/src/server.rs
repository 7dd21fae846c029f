//! The server: accepts connections, one task each.

use crate::{
    admission::{Admission, ConnectionClasses, ConnectionCounts, Slot, Verdict},
    connection::Connection,
    limits::Limits,
    message::{Request, Response},
};
use std::{rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A server on a listening socket.
pub struct Server {
    listener: TcpListener,
    limits: Limits,
    classes: ConnectionClasses,
    counts: Rc<ConnectionCounts>,
}

impl Server {
    /// A server whose connections are all of one class.
    pub fn new(listener: TcpListener, limits: Limits) -> Server {
        let classes = ConnectionClasses::single();
        let counts = Rc::new(ConnectionCounts::new(classes.reserved.len()));
        Server { listener, limits, classes, counts }
    }

    /// The same server with other classes. Call it before [`Server::counts`].
    pub fn with_classes(self, classes: ConnectionClasses) -> Server {
        let counts = Rc::new(ConnectionCounts::new(classes.reserved.len()));
        Server { classes, counts, ..self }
    }

    /// The number of open connections, kept up to date while the server runs.
    pub fn counts(&self) -> Rc<ConnectionCounts> {
        Rc::clone(&self.counts)
    }

    /// Serves until the future is dropped. Must run inside a `LocalSet` or a local runtime.
    ///
    /// Connections that are open when it is dropped go on until they end by themselves or
    /// by a timeout of [`Limits`].
    pub async fn run<F, R>(self, handler: F)
    where
        F: Fn(Request) -> R + 'static,
        R: Future<Output = Response> + 'static,
    {
        let handler = Rc::new(handler);
        let admission = Rc::new(Admission::new(self.limits, self.classes, self.counts));
        loop {
            let stream = accept(&self.listener).await;
            let verdict = admission.judge();
            if verdict == Verdict::Drop {
                continue;
            }
            let connection = Connection::new(stream, Slot::take(&admission));
            let handler = Rc::clone(&handler);
            spawn_local(async move {
                let ended = if verdict == Verdict::Admit {
                    connection.serve(&*handler).await
                } else {
                    connection.refuse().await
                };
                if let Err(error) = ended {
                    tracing::debug!(%error, "connection ended");
                }
            });
        }
    }
}

/// Accepts a connection. The usual failure is that the process is out of sockets: it waits
/// for some to be closed instead of spinning.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
