//! HTTP requests of users, operators and workers, from their arrival to the node's reply.

use super::Shell;
use crate::{
    http_api::Reply,
    node::{Event, RequestId},
};
use gladekeel_http::{Request, Response};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};
use tokio::sync::oneshot;

/// Requests that the node has not replied to yet.
#[derive(Default)]
pub(super) struct PendingRequests {
    senders: RefCell<HashMap<RequestId, oneshot::Sender<Reply>>>,
    next_id: Cell<RequestId>,
}

impl PendingRequests {
    /// Registers a request. Returns its id and the receiver of its reply.
    fn register(&self) -> (RequestId, oneshot::Receiver<Reply>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    /// Passes the node's reply to the task that handles the request.
    pub(super) fn complete(&self, id: RequestId, reply: Reply) {
        if let Some(sender) = self.senders.borrow_mut().remove(&id) {
            // Sending fails only if the client has disconnected in the meantime.
            let _ = sender.send(reply);
        }
    }
}

/// Passes a request to the node, waits for the reply and returns it as an HTTP response.
pub(super) async fn respond(shell: Rc<Shell>, request: Request) -> Response {
    let (id, receiver) = shell.requests.register();
    shell.handle(Event::Http {
        id,
        method: request.method,
        path: request.path,
        body: request.body.to_vec(),
    });
    match receiver.await {
        Ok(reply) => to_response(reply),
        Err(_) => Response::text(500, "no answer\n"),
    }
}

fn to_response(reply: Reply) -> Response {
    if reply.plain {
        return Response::text(reply.status, reply.body);
    }
    Response { retry_after: reply.retry_after, ..Response::json(reply.status, reply.body) }
}
