//! HTTP requests to a node, and the timeouts of their senders.

use super::{Endpoint, ResponseHandler, Simulation};
use gladekeel_controller::{http_api::Reply, node::Event};
use gladekeel_wire::{JobId, job::JobSpec, worker::Heartbeat};
use std::{cell::RefCell, rc::Rc};

/// An HTTP request to a node.
#[derive(Debug, Clone)]
pub(super) struct HttpRequest {
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn get(path: String) -> HttpRequest {
        HttpRequest { method: "GET", path, body: Vec::new() }
    }

    pub fn post(path: &str, body: Vec<u8>) -> HttpRequest {
        HttpRequest { method: "POST", path: path.to_owned(), body }
    }

    pub fn heartbeat(heartbeat: &Heartbeat) -> HttpRequest {
        HttpRequest::post("/checkin", serde_json::to_vec(heartbeat).unwrap_or_default())
    }

    pub fn submit(spec: &JobSpec) -> HttpRequest {
        HttpRequest::post("/api/jobs", serde_json::to_vec(spec).unwrap_or_default())
    }

    pub fn query(job: &JobId) -> HttpRequest {
        HttpRequest::get(format!("/api/jobs/{job}"))
    }

    pub fn cancel(job: &JobId) -> HttpRequest {
        HttpRequest::post(&format!("/api/jobs/{job}/cancel"), Vec::new())
    }
}

/// A response handler that is called once: with the response, or without one at the timeout,
/// whichever comes first.
#[derive(Clone)]
struct SharedHandler(Rc<RefCell<Option<ResponseHandler>>>);

impl SharedHandler {
    fn new(handler: impl FnOnce(&mut Simulation, Option<Reply>) + 'static) -> SharedHandler {
        SharedHandler(Rc::new(RefCell::new(Some(Box::new(handler)))))
    }

    fn call(&self, sim: &mut Simulation, reply: Option<Reply>) {
        let handler = self.0.borrow_mut().take();
        if let Some(handler) = handler {
            handler(sim, reply);
        }
    }
}

impl Simulation {
    /// Sends a request to a node. The handler gets the reply, or `None` if the request times out or
    /// the node is not running.
    pub(super) fn request(
        &mut self,
        from: Endpoint,
        node: usize,
        request: HttpRequest,
        timeout_s: f64,
        handler: impl FnOnce(&mut Simulation, Option<Reply>) + 'static,
    ) {
        let handler = SharedHandler::new(handler);
        let at_timeout = handler.clone();
        self.after(timeout_s, move |sim| at_timeout.call(sim, None));
        let reply_to = from.clone();
        self.deliver(&from, &Endpoint::Node(node), move |sim| {
            sim.receive_request(node, reply_to, request, handler);
        });
    }

    /// Passes a request to a node and sends the node's reply to `reply_to`.
    fn receive_request(
        &mut self,
        node: usize,
        reply_to: Endpoint,
        request: HttpRequest,
        handler: SharedHandler,
    ) {
        let receiver = &mut self.nodes[node];
        if receiver.process.is_none() {
            return handler.call(self, None);
        }
        let incarnation = receiver.incarnation;
        let id = receiver.next_request;
        receiver.next_request += 1;
        let send_reply: ResponseHandler = Box::new(move |sim, reply| {
            sim.deliver(&Endpoint::Node(node), &reply_to, move |sim| handler.call(sim, reply));
        });
        receiver.pending_requests.insert(id, send_reply);
        let HttpRequest { method, path, body } = request;
        let event = Event::Http { id, method: method.into(), path, body };
        self.handle_event(node, incarnation, event);
    }
}
