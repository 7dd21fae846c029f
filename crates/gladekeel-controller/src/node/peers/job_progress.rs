//! Job progress, which the leader publishes so that every node can show it to users.

use super::PeerMessage;
use crate::{node::Node, store_view::JobProgress};
use gladekeel_wire::{
    JobId,
    mesh::{self, FrameKind, JobProgressEntry},
};

/// Time between publications of job progress.
const PROGRESS_INTERVAL_S: f64 = 1.0;

impl Node {
    /// Sends job progress to all peers for display, if this node leads and a publication is due:
    /// the progress of all jobs if a peer has restarted, else only the progress that has changed
    /// since the last publication. Only the leader knows the progress of jobs.
    pub(in crate::node) fn publish_job_progress(&mut self, now: f64) {
        if now - self.peers.last_progress_at < PROGRESS_INTERVAL_S {
            return;
        }
        self.peers.last_progress_at = now;
        let has_restarted_peer = std::mem::take(&mut self.peers.has_restarted_peer);
        let Some(leader) = self.leadership.leader_mut() else { return };
        let changed = leader.take_changed_progress();
        let all = &mut self.store.view.job_progress;
        for (id, progress) in &changed {
            all.insert(id.clone(), *progress);
        }
        let published: Vec<(&JobId, &JobProgress)> = if has_restarted_peer {
            all.iter().collect()
        } else {
            changed.iter().map(|(id, progress)| (id, progress)).collect()
        };
        let entries = published.into_iter().map(|(id, progress)| JobProgressEntry {
            id: id.clone(),
            done: progress.done,
            running: progress.running,
        });
        for payload in mesh::encode_job_progress(entries) {
            self.send_to_all_peers(PeerMessage::one_way(FrameKind::JobProgress, &payload));
        }
    }

    /// Applies job progress from a peer, if the leader key names that peer.
    pub(super) fn on_job_progress(&mut self, sender: usize, payload: &[u8]) {
        let sender = &self.peers.get(sender).name;
        let view = &mut self.store.view;
        if view.leader.as_ref().is_none_or(|(record, _)| record.node != *sender) {
            return;
        }
        let entries = mesh::decode_job_progress(payload).unwrap_or_default();
        for JobProgressEntry { id, done, running } in entries {
            // Progress of a job that is not in this view yet is dropped: the leader publishes the
            // job's progress again when the progress changes.
            if view.jobs.contains_key(&id) {
                view.job_progress.insert(id, JobProgress { done, running });
            }
        }
    }
}
