//! Redirections of workers to the leader by a node that the leader does not expect to relay
//! heartbeats, or that cannot reach the leader itself.
//!
//! Such a node does not know whether the worker can reach the leader, nor when another node last
//! renewed the worker's lease: the worker may come here because it has just failed to reach the
//! leader. A redirection that fails costs the worker a try at each controller before it is back.
//! A worker is therefore redirected only if this node has renewed its lease, recently enough for
//! the lease to outlast all these tries, and not again soon after it came back.

use gladekeel_wire::settings::Deployment;
use std::collections::HashMap;

/// Time after a redirection to the leader within which a worker is not redirected again: a worker
/// that returns to this node so soon could not reach the leader.
const REDIRECT_AGAIN_AFTER_S: f64 = 45.0;
/// How long a worker is remembered after its lease was last renewed here or it was redirected.
const WORKER_TTL_S: f64 = 120.0;
/// How long a worker may wait until it contacts the controller to which it was redirected.
const REDIRECT_PAUSE_S: f64 = 0.5;
/// How long a worker waits for a response, and then until it tries the next controller.
const FAILED_TRY_S: f64 = 5.0;
/// Allowance for the time that messages take, in seconds.
const MESSAGE_DELAY_S: f64 = 1.0;

/// A redirection of a worker to the leader.
#[derive(Debug, Clone, Copy)]
struct Redirection {
    redirected_at: f64,
    /// The highest fencing token that this node knew at the time of the redirection.
    token: u64,
}

/// What this node knows about a worker that it may redirect.
#[derive(Debug, Default)]
struct Worker {
    /// When this node last renewed the worker's lease, or relayed a heartbeat in order to; `None`
    /// if it has not.
    renewed_at: Option<f64>,
    last_redirection: Option<Redirection>,
}

impl Worker {
    /// Whether the worker was redirected so recently that it possibly could not reach the leader.
    fn was_redirected(&self, now: f64, token: u64) -> bool {
        self.last_redirection.is_some_and(|last| {
            now - last.redirected_at < REDIRECT_AGAIN_AFTER_S && last.token == token
        })
    }

    /// When the worker's lease was last renewed or the worker was last redirected.
    fn last_used_at(&self) -> f64 {
        let redirected_at = self.last_redirection.map(|last| last.redirected_at);
        self.renewed_at.into_iter().chain(redirected_at).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// The workers whose leases this node has renewed while it could redirect them, and their
/// redirections.
#[derive(Debug)]
pub(super) struct Redirections {
    workers: HashMap<String, Worker>,
    last_expiry_at: f64,
    /// Longest time since a renewal after which a worker may still be redirected.
    max_renewal_age_s: f64,
}

impl Redirections {
    /// Creates the state of a node with `peers` peers that has renewed no lease yet.
    pub fn new(deployment: &Deployment, peers: usize) -> Redirections {
        let failed_tries_s = REDIRECT_PAUSE_S + FAILED_TRY_S * peers as f64 + MESSAGE_DELAY_S;
        let workers = &deployment.workers;
        Redirections {
            workers: HashMap::new(),
            last_expiry_at: 0.0,
            // If the tries at all controllers do not fit into the lease, a worker is redirected
            // with the first heartbeat after a renewal or not at all.
            max_renewal_age_s: (workers.lease_s - failed_tries_s)
                .max(workers.heartbeat_timeout_s()),
        }
    }

    /// Records that this node renews a worker's lease.
    pub fn record_renewal(&mut self, now: f64, machine: &str) {
        self.worker(now, machine).renewed_at = Some(now);
    }

    /// Returns whether a worker may be redirected to the leader, and if so records the redirection.
    /// `can_renew` says whether this node could renew the worker's lease instead; otherwise a
    /// redirection costs the worker nothing.
    pub fn try_redirect(&mut self, now: f64, machine: &str, token: u64, can_renew: bool) -> bool {
        let max_renewal_age_s = self.max_renewal_age_s;
        let worker = self.worker(now, machine);
        let outlasts_failure = worker.renewed_at.is_some_and(|at| now - at <= max_renewal_age_s);
        let may_redirect = !worker.was_redirected(now, token) && (outlasts_failure || !can_renew);
        if may_redirect {
            worker.last_redirection = Some(Redirection { redirected_at: now, token });
        }
        may_redirect
    }

    fn worker(&mut self, now: f64, machine: &str) -> &mut Worker {
        self.expire(now);
        self.workers.entry(machine.to_owned()).or_default()
    }

    fn expire(&mut self, now: f64) {
        if now - self.last_expiry_at >= WORKER_TTL_S {
            self.last_expiry_at = now;
            self.workers.retain(|_, worker| now - worker.last_used_at() < WORKER_TTL_S);
        }
    }
}
