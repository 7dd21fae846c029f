//! The health check, by which load balancers decide where to send users.

use super::{Node, RequestId, peers::Peer};
use crate::http_api::Reply;

/// A node whose last contact with the store is more recent than this is healthy.
const HEALTHY_CONTACT_S: f64 = 3.0;
/// Only peers that were seen within this time can excuse a node without contact.
const PEER_SEEN_WITHIN_S: f64 = 2.5;
/// A peer whose last contact with the store is this old is no better off.
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

    /// Whether users should be sent here. A node without contact to the store is of use only
    /// if all peers that are reachable are no better off; one that reaches none of them cannot
    /// know.
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
