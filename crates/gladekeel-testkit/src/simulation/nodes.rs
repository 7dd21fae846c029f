//! Nodes: their starts, crashes and pauses, their clocks, the events and actions between them.

use super::{Endpoint, ResponseHandler, STEP_S, SimulatedNode, Simulation};
use gladekeel_controller::node::{Action, Event, Node};
use gladekeel_wire::mesh::FrameHeader;
use rand::Rng;

impl Simulation {
    /// Starts a node.
    pub fn start(&mut self, node: usize) {
        let seed = self.rng.random();
        let host = &mut self.nodes[node];
        host.incarnation += 1;
        host.started_at = self.now;
        host.paused_until = self.now;
        host.pending_requests.clear();
        host.process = Some(Node::new(host.settings.clone(), seed, host.started_at));
        let incarnation = host.incarnation;
        self.tick(node, incarnation);
    }

    /// Pauses a node; what reaches it meanwhile waits.
    pub fn pause(&mut self, node: usize, duration_s: f64) {
        self.mark_fault_active(duration_s);
        self.nodes[node].paused_until = self.now + duration_s;
    }

    /// Crashes a node.
    pub fn crash(&mut self, node: usize) {
        let host = &mut self.nodes[node];
        host.process = None;
        let unanswered: Vec<ResponseHandler> =
            std::mem::take(&mut host.pending_requests).into_values().collect();
        for handler in unanswered {
            handler(self, None);
        }
    }

    /// Crashes a node and starts it again after a while.
    pub fn restart(&mut self, node: usize, after_s: f64) {
        self.crash(node);
        self.mark_fault_active(after_s);
        self.after(after_s, move |sim| {
            if sim.nodes[node].process.is_none() {
                sim.start(node);
            }
        });
    }

    /// The node that leads: of those that believe so, the one with the highest token.
    pub fn leader_node(&self) -> Option<usize> {
        let leads =
            |host: &SimulatedNode| host.process.as_ref().and_then(|n| n.leader()).map(|l| l.token);
        (0..self.nodes.len())
            .filter_map(|node| Some((leads(&self.nodes[node])?, node)))
            .max()
            .map(|(_, node)| node)
    }

    /// The leader's counters.
    pub fn leader_counters(&self) -> Option<gladekeel_controller::leader::LeaderCounters> {
        let node = self.leader_node()?;
        Some(self.nodes[node].process.as_ref()?.leader()?.counters().clone())
    }

    /// Segments of the assignment log in use.
    pub fn log_segments(&self) -> usize {
        let node = self.leader_node().and_then(|node| self.nodes[node].process.as_ref());
        node.and_then(|node| node.leader()).map_or(0, |leader| leader.log_segments())
    }

    /// Age of the oldest open job, as the leader knows it.
    pub fn oldest_job_s(&self) -> Option<f64> {
        let host = &self.nodes[self.leader_node()?];
        host.process.as_ref()?.leader()?.oldest_job_s(self.now - host.started_at)
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].process.is_none() {
            return;
        }
        let paused_s = self.nodes[node].paused_until - self.now;
        if paused_s > 0.0 {
            return self.after(paused_s, move |sim| sim.tick(node, incarnation));
        }
        self.event(node, incarnation, Event::Tick);
        if let Some(leader) = self.nodes[node].process.as_ref().and_then(|n| n.leader()) {
            let seen = (leader.token, node);
            self.invariants.on_leadership(self.now, seen.0, leader.since());
            if !self.leaders.contains(&seen) {
                self.leaders.push(seen);
                self.replay_retained_heartbeats();
            }
        }
        self.after(STEP_S, move |sim| sim.tick(node, incarnation));
    }

    pub(super) fn event(&mut self, node: usize, incarnation: u64, event: Event) {
        let now = self.now;
        let host = &mut self.nodes[node];
        if host.incarnation != incarnation {
            return;
        }
        let paused_s = host.paused_until - now;
        if paused_s > 0.0 {
            return self.after(paused_s, move |sim| sim.event(node, incarnation, event));
        }
        let started_at = host.started_at;
        let Some(running) = &mut host.process else { return };
        for action in running.handle(now - started_at, event) {
            self.act(node, incarnation, action);
        }
    }

    fn act(&mut self, node: usize, incarnation: u64, action: Action) {
        self.trace.record(self.now, node, &action);
        match action {
            Action::Reply { id, reply } => {
                if let Some(handler) = self.nodes[node].pending_requests.remove(&id) {
                    handler(self, Some(reply));
                }
            }
            Action::CallStore { call, request, timeout_s } => {
                self.call_store(node, incarnation, call, request, timeout_s);
            }
            Action::CallCloud { call, request, timeout_s } => {
                self.call_cloud(node, incarnation, call, request, timeout_s);
            }
            Action::CallWorker { call, request, timeout_s } => {
                self.call_worker(node, incarnation, call, request, timeout_s);
            }
            Action::SendToPeer { peer, frame } => {
                let name = self.nodes[node].settings.peers[peer].node.clone();
                let to = self.nodes.iter().position(|host| host.settings.node == name);
                let Some(to) = to else { return };
                self.deliver(&Endpoint::Node(node), &Endpoint::Node(to), move |sim| {
                    let (head, payload) = frame.split_at(FrameHeader::SIZE);
                    let read = head.try_into().ok().and_then(|head| FrameHeader::read(&head).ok());
                    let Some((header, kind)) = read else { return };
                    let incarnation = sim.nodes[to].incarnation;
                    sim.event(
                        to,
                        incarnation,
                        Event::Peer { header, kind, payload: payload.to_vec() },
                    );
                });
            }
        }
    }

    /// The number of nodes.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }
}
