//! Operators' requests to the administration API: runtime settings, status and draining.
//!
//! Each change is a write to one key of the store, on the precondition that this key still has the
//! version on which the change is based, so that operators cannot overwrite each other's changes
//! unnoticed.

use super::{Node, RequestId, outgoing_calls::StoreCallPurpose, user_requests::Continuation};
use crate::{
    http_api::{AdminRoute, Reply},
    keys,
    leader::Leader,
    store_view::JobProgress,
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_wire::{
    admin::{
        DrainStatus, MachineList, NodeStatus, SettingsChange, Status, TeamStatus, VersionedSettings,
    },
    settings::Team,
    store::{Precondition, Transaction, Write},
};
use std::collections::BTreeMap;

/// Error message for a change that conflicts with a change made since the operator's read.
const CONFLICT_MESSAGE: &str = "changed by somebody else meanwhile: read it again";

/// An operator's change that is being written to the store.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum AdminChange {
    /// Changes the runtime settings.
    Settings {
        /// All settings with their values after the change.
        values: BTreeMap<String, f64>,
    },
    /// Drains or undrains a machine.
    Drain {
        /// The machine's name.
        machine: String,
        /// `true` to drain the machine, `false` to undrain it.
        draining: bool,
    },
}

impl AdminChange {
    /// Logs the change, which was committed at `revision`, and builds the reply.
    fn committed_reply(self, revision: u64) -> Reply {
        match self {
            AdminChange::Settings { values } => {
                tracing::info!(version = revision, settings = ?values, "runtime settings changed");
                Reply::json(200, &VersionedSettings { version: revision, settings: values })
            }
            AdminChange::Drain { machine, draining } => {
                tracing::info!(machine, draining, "drain order changed");
                Reply::json(200, &DrainStatus { machine, draining })
            }
        }
    }
}

impl Node {
    /// Handles a request to the administration API.
    pub(super) fn on_admin_request(
        &mut self,
        now: f64,
        request: RequestId,
        route: AdminRoute,
        body: &[u8],
    ) {
        match route {
            AdminRoute::GetSettings => self.on_get_settings(now, request),
            AdminRoute::SetSettings => self.on_set_settings(now, request, body),
            AdminRoute::Status => {
                let status = self.status(now);
                self.reply(now, request, Reply::json(200, &status));
            }
            AdminRoute::Machines => {
                let reply = self.machines(now);
                self.reply(now, request, reply);
            }
            AdminRoute::Drain { machine, draining } => {
                self.on_drain(now, request, machine, draining);
            }
        }
    }

    /// Handles a request for the runtime settings. The reply waits for a read of the store, so that
    /// the reply includes changes that another node has just made.
    fn on_get_settings(&mut self, now: f64, request: RequestId) {
        if !self.reject_if_overloaded(now, request) {
            self.enqueue_for_read(now, request, Continuation::ReplySettings);
        }
    }

    /// Replies with the runtime settings in force.
    pub(super) fn reply_settings(&mut self, now: f64, request: RequestId) {
        let settings = VersionedSettings {
            version: self.store.view.runtime_settings_version,
            settings: self.runtime_settings.values(),
        };
        self.reply(now, request, Reply::json(200, &settings));
    }

    fn on_set_settings(&mut self, now: f64, request: RequestId, body: &[u8]) {
        let change: SettingsChange = match serde_json::from_slice(body) {
            Ok(change) => change,
            Err(error) => return self.reply(now, request, Reply::error(400, error.to_string())),
        };
        let changed = match self.runtime_settings.with_json(&change.settings) {
            Ok(changed) => changed,
            Err(error) => return self.reply(now, request, Reply::error(400, error.to_string())),
        };
        // Settings that the change does not name keep the values of this node's view, so the
        // settings in the view must have the version that the operator has read.
        if change.version != self.store.view.runtime_settings_version {
            self.store.request_read();
            return self.reply(now, request, Reply::error(409, CONFLICT_MESSAGE));
        }
        let values = changed.values();
        let value = serde_json::to_value(&values).expect("numbers always serialise");
        let key = keys::RUNTIME_SETTINGS.to_owned();
        let transaction = Transaction {
            preconditions: vec![Precondition { key: key.clone(), version: change.version }],
            writes: vec![Write::Put { key, value, lease: None }],
        };
        self.write_admin_change(now, request, transaction, AdminChange::Settings { values });
    }

    fn on_drain(&mut self, now: f64, request: RequestId, machine: String, draining: bool) {
        let is_known =
            |leader: &Leader| leader.machine_status(now).iter().any(|m| m.machine == machine);
        if draining && self.leadership.leader().is_some_and(|leader| !is_known(leader)) {
            let message = format!("{machine}: no such machine");
            return self.reply(now, request, Reply::error(404, message));
        }
        let key = keys::drain(&machine);
        let version = self.store.version(&key);
        let write = if draining {
            Write::Put { key: key.clone(), value: true.into(), lease: None }
        } else {
            Write::Delete { key: key.clone() }
        };
        let transaction =
            Transaction { preconditions: vec![Precondition { key, version }], writes: vec![write] };
        self.write_admin_change(
            now,
            request,
            transaction,
            AdminChange::Drain { machine, draining },
        );
    }

    /// Writes a change to the store. The reply to the operator is sent once the outcome is known.
    fn write_admin_change(
        &mut self,
        now: f64,
        request: RequestId,
        transaction: Transaction,
        change: AdminChange,
    ) {
        if self.reject_if_overloaded(now, request) {
            return;
        }
        // Operators' changes are few: each takes a token of the rate limit if a token is available,
        // and is sent without a token otherwise.
        self.rate_limits.user_writes.try_take(now, 1.0);
        let purpose = StoreCallPurpose::AdminWrite { request, change };
        self.call_store(now, purpose, StoreRequest::Commit(transaction));
    }

    /// Replies to the operator according to the outcome of the write.
    pub(super) fn on_admin_write_outcome(
        &mut self,
        now: f64,
        request: RequestId,
        change: AdminChange,
        outcome: &StoreOutcome,
    ) {
        let reply = match outcome {
            StoreOutcome::Committed(revision) => change.committed_reply(*revision),
            StoreOutcome::Conflict(_) => Reply::error(409, CONFLICT_MESSAGE),
            StoreOutcome::Unknown => {
                Reply::retry_later(1, "no answer: it may or may not be made; read it again")
            }
            _ => Reply::retry_later(1, "the state service refuses"),
        };
        self.store.request_read();
        self.reply(now, request, reply);
    }

    fn machines(&self, now: f64) -> Reply {
        if let Some(leader) = self.leadership.leader() {
            return Reply::json(200, &MachineList { machines: leader.machine_status(now) });
        }
        let leader = self.store.view.leader.as_ref().map(|(record, _)| record.node.as_str());
        let leader = leader.unwrap_or("nobody at the moment");
        Reply::error(421, format!("only the leader knows; that is {leader}"))
    }

    fn status(&self, now: f64) -> Status {
        let view = &self.store.view;
        Status {
            node: self.settings.node.clone(),
            leader: view.leader.as_ref().map(|(record, _)| record.node.clone()),
            token: view.highest_token,
            store_contact_age_s: self.store.last_contact().map(|contact| now - contact),
            nodes: self.node_status(now),
            teams: self.team_status(),
            machines: self.leadership.leader().map(|leader| machines_by_state(leader, now)),
        }
    }

    fn node_status(&self, now: f64) -> Vec<NodeStatus> {
        let status = self.peers.iter().map(|peer| NodeStatus {
            node: peer.name.clone(),
            last_heartbeat_age_s: peer.last_seen.map(|last_seen| now - last_seen),
            store_contact_age_s: peer.store_contact_age_s(),
        });
        status.collect()
    }

    fn team_status(&self) -> Vec<TeamStatus> {
        let view = &self.store.view;
        let mut teams: Vec<TeamStatus> =
            self.deployment.teams.iter().map(team_status_without_jobs).collect();
        for (id, job) in &view.jobs {
            let Some(team) = teams.iter_mut().find(|team| team.team == job.spec.team) else {
                continue;
            };
            let JobProgress { done, running } =
                view.job_progress.get(id).copied().unwrap_or_default();
            team.cpus += job.spec.cpus * f64::from(running);
            team.gpus += job.spec.gpus * f64::from(running);
            if !view.final_states.contains_key(id) {
                team.jobs += 1;
                team.waiting += u64::from(job.spec.tasks.saturating_sub(done + running));
            }
        }
        teams
    }
}

/// The status of a team that has no jobs.
fn team_status_without_jobs(team: &Team) -> TeamStatus {
    TeamStatus {
        team: team.name.clone(),
        cpus: 0.0,
        gpus: 0.0,
        guaranteed_cpus: team.cpus,
        limit_cpus: team.cpus_max,
        jobs: 0,
        waiting: 0,
    }
}

/// Counts the leader's machines by state.
pub(super) fn machines_by_state(leader: &Leader, now: f64) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for machine in leader.machine_status(now) {
        *counts.entry(machine.state).or_default() += 1;
    }
    counts
}
