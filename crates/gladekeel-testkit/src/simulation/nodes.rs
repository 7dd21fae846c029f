//! Nodes: how they start, crash and pause, which events they handle, and how their actions are
//! executed.

use super::{Endpoint, ResponseHandler, STEP_S, SimulatedNode, Simulation};
use gladekeel_controller::node::{Action, Event, Node};
use gladekeel_wire::mesh::FrameHeader;
use rand::Rng;

impl Simulation {
    /// Starts a node, with a clock that begins at 0.
    pub fn start(&mut self, node: usize) {
        let seed = self.rng.random();
        let host = &mut self.nodes[node];
        host.incarnation += 1;
        host.started_at = self.now;
        host.paused_until = self.now;
        host.pending_requests.clear();
        let wall_clock = host.started_at + host.clock_error_s;
        host.process = Some(Node::new(host.settings.clone(), seed, wall_clock));
        let incarnation = host.incarnation;
        self.tick(node, incarnation);
    }

    /// Sets how far each node's wall clock is off, ahead and behind in turn, for nodes that are
    /// started from now on and those that run.
    pub fn set_clock_error(&mut self, error_s: f64) {
        for (index, host) in self.nodes.iter_mut().enumerate() {
            host.clock_error_s = if index % 2 == 0 { error_s } else { -error_s };
            let now = self.now - host.started_at;
            if let Some(process) = &mut host.process {
                process.set_wall_clock(now, self.now + host.clock_error_s);
            }
        }
    }

    /// Pauses the process of a node. Events that reach the node while it is paused are handled
    /// when the pause ends.
    pub fn pause(&mut self, node: usize, duration_s: f64) {
        self.mark_fault_active(duration_s);
        self.nodes[node].paused_until = self.now + duration_s;
    }

    /// Crashes a node. The senders of its pending requests get no response.
    pub fn crash(&mut self, node: usize) {
        let host = &mut self.nodes[node];
        host.process = None;
        let pending: Vec<ResponseHandler> =
            std::mem::take(&mut host.pending_requests).into_values().collect();
        for handler in pending {
            handler(self, None);
        }
    }

    /// Crashes a node and starts it again after `after_s` seconds.
    pub fn restart(&mut self, node: usize, after_s: f64) {
        self.crash(node);
        self.mark_fault_active(after_s);
        self.after(after_s, move |sim| {
            if sim.nodes[node].process.is_none() {
                sim.start(node);
            }
        });
    }

    /// Returns the leader: of the nodes that consider themselves leader, the one with the highest
    /// token. Returns `None` if there is none.
    pub fn leader_node(&self) -> Option<usize> {
        let token =
            |host: &SimulatedNode| host.process.as_ref().and_then(|n| n.leader()).map(|l| l.token);
        (0..self.nodes.len())
            .filter_map(|node| Some((token(&self.nodes[node])?, node)))
            .max()
            .map(|(_, node)| node)
    }

    /// Returns the counters of the leader; `None` without a leader.
    pub fn leader_counters(&self) -> Option<gladekeel_controller::leader::LeaderCounters> {
        let node = self.leader_node()?;
        Some(self.nodes[node].process.as_ref()?.leader()?.counters().clone())
    }

    /// Returns the number of segments of the assignment log in use; 0 without a leader.
    pub fn log_segments(&self) -> usize {
        let node = self.leader_node().and_then(|node| self.nodes[node].process.as_ref());
        node.and_then(|node| node.leader()).map_or(0, |leader| leader.log_segments())
    }

    /// Returns the age in seconds of the oldest unfinished job that the leader knows; `None`
    /// without a leader or an unfinished job.
    pub fn oldest_job_s(&self) -> Option<f64> {
        let host = &self.nodes[self.leader_node()?];
        host.process.as_ref()?.leader()?.oldest_job_s(self.now - host.started_at)
    }

    /// Passes a tick to a node, records the node's leadership if the node leads, and schedules the
    /// next tick.
    fn tick(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].process.is_none() {
            return;
        }
        let paused_s = self.nodes[node].paused_until - self.now;
        if paused_s > 0.0 {
            return self.after(paused_s, move |sim| sim.tick(node, incarnation));
        }
        self.handle_event(node, incarnation, Event::Tick);
        if let Some(leader) = self.nodes[node].process.as_ref().and_then(|n| n.leader()) {
            let leadership = (leader.token, node);
            self.invariants.on_leadership(self.now, leadership.0, leader.term_started_at());
            if !self.leaders.contains(&leadership) {
                self.leaders.push(leadership);
                self.replay_retained_heartbeats();
            }
        }
        self.after(STEP_S, move |sim| sim.tick(node, incarnation));
    }

    /// Passes an event to a node and executes the resulting actions. Defers the event while the
    /// node is paused, and drops an event for an earlier incarnation of the node.
    pub(super) fn handle_event(&mut self, node: usize, incarnation: u64, event: Event) {
        let now = self.now;
        let host = &mut self.nodes[node];
        if host.incarnation != incarnation {
            return;
        }
        let paused_s = host.paused_until - now;
        if paused_s > 0.0 {
            return self.after(paused_s, move |sim| sim.handle_event(node, incarnation, event));
        }
        let started_at = host.started_at;
        let Some(process) = &mut host.process else { return };
        for action in process.handle(now - started_at, event) {
            self.execute_action(node, incarnation, action);
        }
    }

    /// Records an action of a node in the decision trace and executes the action.
    fn execute_action(&mut self, node: usize, incarnation: u64, action: Action) {
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
                    let parsed =
                        head.try_into().ok().and_then(|head| FrameHeader::read(&head).ok());
                    let Some((header, kind)) = parsed else { return };
                    let incarnation = sim.nodes[to].incarnation;
                    sim.handle_event(
                        to,
                        incarnation,
                        Event::Peer { header, kind, payload: payload.to_vec() },
                    );
                });
            }
        }
    }

    /// Returns the number of nodes, including those that are down.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }
}
