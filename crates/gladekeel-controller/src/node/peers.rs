//! What controllers tell one another.

use super::{Action, COUNTS_S, HELLO_S, Node, Peer};
use crate::store_view::JobProgress;
use gladekeel_wire::{
    JobId,
    mesh::{self, FrameHeader, FrameKind, PeerHeartbeat},
};
use zerocopy::{FromBytes, IntoBytes};

impl Node {
    /// Another node that leads: as the store says, or, when it cannot be asked, as the
    /// other controllers do.
    pub(super) fn leader_elsewhere(&self, now: f64) -> Option<&str> {
        let heard = |peer: &&Peer| peer.last_seen.is_some_and(|at| now - at < HELLO_S);
        let told = self
            .peers
            .iter()
            .filter(heard)
            .filter(|peer| peer.leader_token > self.store.highest_token);
        let told = told.max_by_key(|peer| peer.leader_token).map(|peer| peer.name.as_str());
        let stored = self.store.leader.as_ref().map(|(record, _)| record.node.as_str());
        told.or(
            stored.filter(|node| self.has_fresh_store_contact(now) && *node != self.settings.node)
        )
    }

    pub(super) fn send(
        &mut self,
        peer: usize,
        kind: FrameKind,
        status: u16,
        call: u64,
        payload: &[u8],
    ) {
        let header = FrameHeader::new(kind, status, call, self.node_index, payload.len());
        let mut frame = header.as_bytes().to_vec();
        frame.extend_from_slice(payload);
        self.actions.push(Action::SendToPeer { peer, frame });
    }

    pub(super) fn nudge(&mut self) {
        let leader = self.store.leader.as_ref().map(|(record, _)| record.node.clone());
        let peer = leader.and_then(|name| self.peers.iter().position(|peer| peer.name == name));
        if let Some(peer) = peer {
            self.send(peer, FrameKind::StoreChanged, 0, 0, &[]);
        }
    }

    /// Applies a frame that another controller has sent.
    pub(super) fn on_mesh(
        &mut self,
        now: f64,
        header: &FrameHeader,
        kind: FrameKind,
        payload: &[u8],
    ) {
        let Some(name) = self.node_at(header.sender.get()) else { return };
        let Some(peer) = self.peers.iter().position(|peer| peer.name == name) else { return };
        match kind {
            FrameKind::StoreChanged => self.store_reads.wanted = true,
            FrameKind::PeerHeartbeat => self.on_hello(now, peer, header, payload),
            FrameKind::RelayedHeartbeat => self.on_relay(now, peer, header, payload),
            FrameKind::RelayedResponse => self.on_relayed(now, header, payload),
            FrameKind::JobProgress => self.on_counts(&name, payload),
            FrameKind::Cancellations => self.on_cancellations(payload),
        }
    }

    /// The name of the node that has an index among all of them, by the order of names.
    fn node_at(&self, index: u32) -> Option<String> {
        let mut names: Vec<&str> = self.settings.peers.iter().map(|p| p.node.as_str()).collect();
        names.push(&self.settings.node);
        names.sort_unstable();
        names.get(index as usize).map(|name| (*name).to_owned())
    }

    fn on_hello(&mut self, now: f64, peer: usize, header: &FrameHeader, payload: &[u8]) {
        let Ok(hello) = PeerHeartbeat::read_from_bytes(payload) else { return };
        let peer = &mut self.peers[peer];
        peer.last_seen = Some(now);
        peer.store_contact_age_ms = hello.store_contact_age_ms.get();
        peer.leader_token = hello.leader_token.get();
        peer.protocol_level = header.status.get();
        // It knows no counts, and would show a running job as queued until the job's next
        // change.
        self.peer_restarted |= peer.incarnation != header.correlation_id.get();
        peer.incarnation = header.correlation_id.get();
        // A leader that the state service no longer answers learns here that another one
        // leads; to stop early is always safe.
        if self.leader.as_ref().is_some_and(|leader| leader.token < hello.leader_token.get()) {
            tracing::warn!(by = peer.name, "another node leads: no longer leading");
            self.leader = None;
            self.store_reads.wanted = true;
        }
    }

    fn on_counts(&mut self, sender: &str, payload: &[u8]) {
        let leader = self.store.leader.as_ref();
        if leader.is_none_or(|(record, _)| record.node != sender) {
            return;
        }
        for (id, done, running) in mesh::decode_job_progress(payload).unwrap_or_default() {
            // Jobs that this node has not heard of yet are told again.
            if self.store.jobs.contains_key(&id) {
                self.store.job_progress.insert(id, JobProgress { done, running });
            }
        }
    }

    fn on_cancellations(&mut self, payload: &[u8]) {
        // The frame may have been held back, but the last reading that was answered did not
        // tell of it.
        let after = self.last_store_contact.unwrap_or(f64::NEG_INFINITY);
        for id in mesh::decode_job_ids(payload).unwrap_or_default() {
            self.call_off(&id, after);
        }
        self.store_reads.wanted = true;
    }

    /// A job's cancellation is committed, some time after `after`; the store has not told
    /// of it yet, and may not for long.
    pub(super) fn call_off(&mut self, id: &JobId, after: f64) {
        if self.store.final_states.contains_key(id) {
            return;
        }
        self.store.pending_cancellations.insert(id.clone(), after);
        if let Some(leader) = &mut self.leader {
            leader.apply_pending_cancellation(id, after);
        }
    }

    /// Tells the other controllers of cancellations that were committed here. A leader
    /// that the state service refuses stops the jobs' tasks at once instead of letting
    /// them run out with their leases; no bound depends on that it hears.
    pub(super) fn publish_cancellations(&mut self, now: f64, ids: &[JobId]) {
        if ids.is_empty() {
            return;
        }
        let payload = mesh::encode_job_ids(ids.iter());
        for peer in 0..self.peers.len() {
            // One that has not been heard of late may come back as the version before.
            let heard = self.peers[peer].last_seen.is_some_and(|at| now - at < HELLO_S);
            if heard && self.peers[peer].protocol_level >= 1 {
                self.send(peer, FrameKind::Cancellations, 0, 0, &payload);
            }
        }
    }

    /// Tells the other controllers how far jobs are, for display.
    pub(super) fn publish_counts(&mut self, now: f64) {
        if now - self.counts_at < COUNTS_S {
            return;
        }
        self.counts_at = now;
        let peer_restarted = std::mem::take(&mut self.peer_restarted);
        let Some(leader) = &mut self.leader else { return };
        let changed = leader.take_changed_progress();
        for (id, counts) in &changed {
            self.store.job_progress.insert(id.clone(), *counts);
        }
        let told: Vec<(&JobId, &JobProgress)> = if peer_restarted {
            self.store.job_progress.iter().collect()
        } else {
            changed.iter().map(|(id, counts)| (id, counts)).collect()
        };
        let rows = told.into_iter().map(|(id, counts)| (id, counts.done, counts.running));
        for payload in mesh::encode_job_progress(rows) {
            for peer in 0..self.peers.len() {
                self.send(peer, FrameKind::JobProgress, 0, 0, &payload);
            }
        }
    }
}
