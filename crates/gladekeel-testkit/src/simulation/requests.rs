//! Requests over HTTP to a controller, and the patience of those who ask.

use super::{Endpoint, ResponseHandler, Simulation};
use gladekeel_controller::{http_api::Reply, node::Event};
use std::{cell::RefCell, rc::Rc};

impl Simulation {
    pub(super) fn request(
        &mut self,
        from: Endpoint,
        node: usize,
        request: (&'static str, String, Vec<u8>),
        timeout_s: f64,
        then: impl FnOnce(&mut Simulation, Option<Reply>) + 'static,
    ) {
        // Whichever comes first, the answer or the end of patience.
        let then: Rc<RefCell<Option<ResponseHandler>>> =
            Rc::new(RefCell::new(Some(Box::new(then))));
        let settle = |then: &Rc<RefCell<Option<ResponseHandler>>>,
                      sim: &mut Simulation,
                      reply: Option<Reply>| {
            let then = then.borrow_mut().take();
            if let Some(then) = then {
                then(sim, reply);
            }
        };
        let patience = then.clone();
        self.after(timeout_s, move |sim| settle(&patience, sim, None));
        let back = from.clone();
        self.deliver(&from, &Endpoint::Node(node), move |sim| {
            let incarnation = sim.nodes[node].incarnation;
            let host = &mut sim.nodes[node];
            if host.node.is_none() {
                return settle(&then, sim, None);
            }
            let id = host.next_request;
            host.next_request += 1;
            host.replies.insert(
                id,
                Box::new(move |sim, reply| {
                    sim.deliver(&Endpoint::Node(node), &back, move |sim| settle(&then, sim, reply));
                }),
            );
            let (method, path, body) = request;
            let event = Event::Http { id, method: method.into(), path, body };
            sim.event(node, incarnation, event);
        });
    }
}
