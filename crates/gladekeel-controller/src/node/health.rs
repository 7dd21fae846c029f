//! The health check, by which load balancers decide to which nodes they send users' requests.

use super::{Node, RequestId, peers::Peer};
use crate::http_api::Reply;

/// Age of the last contact with the store below which a node is healthy, whatever its peers report.
const HEALTHY_CONTACT_S: f64 = 3.0;
/// Age of a peer's last heartbeat below which the peer counts as reachable in the health check of a
/// node without recent contact with the store.
const PEER_SEEN_WITHIN_S: f64 = 2.5;
/// Age of a peer's last contact with the store from which the peer counts as having lost contact
/// with the store.
const STALE_PEER_CONTACT_MS: u32 = 2500;

impl Node {
    /// Handles a health check.
    pub(super) fn on_health_check(&mut self, now: f64, id: RequestId) {
        let reply = if self.is_healthy(now) {
            Reply::json(200, &serde_json::json!({"up": true}))
        } else {
            Reply::retry_later(1, "no contact with the state service")
        };
        self.reply(now, id, reply);
    }

    /// Whether this node should receive users' requests. A node without recent contact with the
    /// store is healthy only if every reachable peer has lost contact with the store too. If no
    /// peer is reachable, the node cannot know whether the store or its own network has failed, and
    /// counts as unhealthy; a deployment's only node counts as healthy.
    fn is_healthy(&self, now: f64) -> bool {
        if !self.store.is_loaded() {
            return false;
        }
        let has_contact =
            self.store.last_contact().is_some_and(|contact| now - contact < HEALTHY_CONTACT_S);
        if has_contact || self.peers.is_empty() {
            return true;
        }
        let was_seen = |peer: &&Peer| peer.was_seen_within(now, PEER_SEEN_WITHIN_S);
        let mut reachable = self.peers.iter().filter(was_seen).peekable();
        reachable.peek().is_some()
            && reachable.all(|peer| peer.store_contact_age_ms >= STALE_PEER_CONTACT_MS)
    }
}
