//! Requests over HTTP to a controller, and the patience of those who ask.

use super::{End, Sim, Then};
use gladekeel_controller::{http_api::Reply, node::Event};
use std::{cell::RefCell, rc::Rc};

impl Sim {
    pub(super) fn request(
        &mut self,
        from: End,
        node: usize,
        request: (&'static str, String, Vec<u8>),
        limit_s: f64,
        then: impl FnOnce(&mut Sim, Option<Reply>) + 'static,
    ) {
        // Whichever comes first, the answer or the end of patience.
        let then: Rc<RefCell<Option<Then>>> = Rc::new(RefCell::new(Some(Box::new(then))));
        let settle = |then: &Rc<RefCell<Option<Then>>>, sim: &mut Sim, reply: Option<Reply>| {
            let then = then.borrow_mut().take();
            if let Some(then) = then {
                then(sim, reply);
            }
        };
        let patience = then.clone();
        self.after(limit_s, move |sim| settle(&patience, sim, None));
        let back = from.clone();
        self.deliver(&from, &End::Node(node), move |sim| {
            let incarnation = sim.nodes[node].incarnation;
            let slot = &mut sim.nodes[node];
            if slot.node.is_none() {
                return settle(&then, sim, None);
            }
            let id = slot.next_request;
            slot.next_request += 1;
            slot.replies.insert(
                id,
                Box::new(move |sim, reply| {
                    sim.deliver(&End::Node(node), &back, move |sim| settle(&then, sim, reply));
                }),
            );
            let (method, path, body) = request;
            let event = Event::Http { id, method: method.into(), path, body };
            sim.event(node, incarnation, event);
        });
    }
}
