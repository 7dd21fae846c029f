//! The server, which accepts connections and serves each connection in a task of its own.

use crate::{
    admission::{Admission, ConnectionClasses, ConnectionCounts, Decision, Slot},
    connection::Connection,
    limits::Limits,
    message::{Request, Response},
};
use std::{rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// Pause before the next attempt after accepting a connection has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A server on a listening socket.
pub struct Server {
    listener: TcpListener,
    limits: Limits,
    classes: ConnectionClasses,
    counts: Rc<ConnectionCounts>,
}

impl Server {
    /// A server whose connections all belong to one class.
    pub fn new(listener: TcpListener, limits: Limits) -> Server {
        let classes = ConnectionClasses::single();
        let counts = Rc::new(ConnectionCounts::new(classes.reserved.len()));
        Server { listener, limits, classes, counts }
    }

    /// Returns this server with other connection classes. Must be called before [`Server::counts`],
    /// because this function replaces the counts.
    pub fn with_classes(self, classes: ConnectionClasses) -> Server {
        let counts = Rc::new(ConnectionCounts::new(classes.reserved.len()));
        Server { classes, counts, ..self }
    }

    /// The numbers of open connections, kept up to date while the server runs.
    pub fn counts(&self) -> Rc<ConnectionCounts> {
        Rc::clone(&self.counts)
    }

    /// Accepts and serves connections until the future is dropped. Must run inside a `LocalSet` or
    /// a local runtime.
    ///
    /// Connections that are open when the future is dropped stay open until the client or the
    /// server closes them, or a timeout of [`Limits`] ends them.
    pub async fn run<F, R>(self, handler: F)
    where
        F: Fn(Request) -> R + 'static,
        R: Future<Output = Response> + 'static,
    {
        let handler = Rc::new(handler);
        let admission = Rc::new(Admission::new(self.limits, self.classes, self.counts));
        loop {
            let stream = accept(&self.listener).await;
            let decision = admission.decide();
            if decision == Decision::Drop {
                continue;
            }
            let connection = Connection::new(stream, Slot::acquire(&admission));
            let handler = Rc::clone(&handler);
            spawn_local(async move {
                let result = if decision == Decision::Admit {
                    connection.serve(&*handler).await
                } else {
                    connection.refuse().await
                };
                if let Err(error) = result {
                    tracing::debug!(%error, "connection ended with an error");
                }
            });
        }
    }
}

/// Accepts a connection, and retries after a pause if accepting fails. The usual failure is that
/// the process has no socket left: the pause gives other connections time to close, and avoids a
/// busy loop.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
