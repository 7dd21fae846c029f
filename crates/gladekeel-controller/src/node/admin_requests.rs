//! The administration API: settings, status, draining.
//!
//! It has no authentication of its own and must be kept inside the operators' network.

use super::{Continuation, Node, RequestId};
use crate::{
    http_api::{AdminRoute, Reply},
    keys,
    leader::Leader,
    store_view::JobProgress,
};
use gladekeel_store::StoreOutcome;
use gladekeel_wire::{
    admin::{
        DrainStatus, Machines, NodeStatus, SettingsChange, Status, TeamStatus, VersionedSettings,
    },
    store::{Precondition, Transaction, Write},
};
use std::collections::BTreeMap;

/// Answer to a change of something that is no longer as the operator has read it.
const CHANGED_MEANWHILE: &str = "changed by somebody else meanwhile: read it again";

/// A change that waits for the state service.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum AdminChange {
    /// All settings as they are from then on.
    Settings(BTreeMap<String, f64>),
    /// Whether a machine is drained from then on.
    Drain { machine: String, draining: bool },
}

impl Node {
    pub(crate) fn on_admin(&mut self, now: f64, id: RequestId, route: AdminRoute, body: &[u8]) {
        match route {
            AdminRoute::GetSettings => {
                // What another node has just stored must show here as well.
                if !self.overloaded(now, id) {
                    self.wait(now, id, None, Continuation::Settings);
                }
            }
            AdminRoute::SetSettings => self.on_set_settings(now, id, body),
            AdminRoute::Status => {
                let status = self.status(now);
                self.reply(now, id, Reply::json(200, &status));
            }
            AdminRoute::Machines => {
                let reply = self.machines(now);
                self.reply(now, id, reply);
            }
            AdminRoute::Drain { machine, draining } => self.on_drain(now, id, machine, draining),
        }
    }

    fn machines(&self, now: f64) -> Reply {
        if let Some(leader) = &self.leader {
            return Reply::json(200, &Machines { machines: leader.machine_status(now) });
        }
        let leader = self.store.leader.as_ref().map(|(record, _)| record.node.as_str());
        let leader = leader.unwrap_or("nobody at the moment");
        Reply::error(421, format!("only the leader knows; that is {leader}"))
    }

    fn on_drain(&mut self, now: f64, id: RequestId, machine: String, draining: bool) {
        let known =
            |leader: &Leader| leader.machine_status(now).iter().any(|m| m.machine == machine);
        if draining && self.leader.as_ref().is_some_and(|leader| !known(leader)) {
            return self.reply(now, id, Reply::error(404, format!("{machine}: no such machine")));
        }
        let key = keys::drain(&machine);
        let version = self.replica.version(&key);
        let write = if draining {
            Write::Put { key: key.clone(), value: true.into(), lease: None }
        } else {
            Write::Delete { key: key.clone() }
        };
        let txn =
            Transaction { preconditions: vec![Precondition { key, version }], writes: vec![write] };
        self.admin_write(now, id, txn, AdminChange::Drain { machine, draining });
    }

    pub(crate) fn answer_settings(&mut self, now: f64, id: RequestId) {
        let settings = VersionedSettings {
            version: self.store.options_version,
            settings: self.runtime_settings.values(),
        };
        self.reply(now, id, Reply::json(200, &settings));
    }

    fn on_set_settings(&mut self, now: f64, id: RequestId, body: &[u8]) {
        let wanted: SettingsChange = match serde_json::from_slice(body) {
            Ok(wanted) => wanted,
            Err(error) => return self.reply(now, id, Reply::error(400, error.to_string())),
        };
        let options = match self.runtime_settings.with_json(&wanted.settings) {
            Ok(options) => options,
            Err(error) => return self.reply(now, id, Reply::error(400, error.to_string())),
        };
        // The settings that are not named stay as they are in this node's copy, so that has
        // to be the version which the operator has read.
        if wanted.version != self.store.options_version {
            self.store_reads.wanted = true;
            return self.reply(now, id, Reply::error(409, CHANGED_MEANWHILE));
        }
        let values = options.values();
        let value = serde_json::to_value(&values).expect("numbers always serialise");
        let key = keys::OPTIONS.to_owned();
        let txn = Transaction {
            preconditions: vec![Precondition { key: key.clone(), version: wanted.version }],
            writes: vec![Write::Put { key, value, lease: None }],
        };
        self.admin_write(now, id, txn, AdminChange::Settings(values));
    }

    /// Answers an operator whose change has been made or not.
    pub(crate) fn admin_written(
        &mut self,
        now: f64,
        id: RequestId,
        change: AdminChange,
        outcome: &StoreOutcome,
    ) {
        let reply = match outcome {
            StoreOutcome::Committed(revision) => change_made(*revision, change),
            StoreOutcome::Conflict(_) => Reply::error(409, CHANGED_MEANWHILE),
            StoreOutcome::Unknown => {
                Reply::retry_later(1, "no answer: it may or may not be made; read it again")
            }
            _ => Reply::retry_later(1, "the state service refuses"),
        };
        self.store_reads.wanted = true;
        self.reply(now, id, reply);
    }

    fn status(&self, now: f64) -> Status {
        let mut teams: Vec<TeamStatus> = self
            .deployment
            .teams
            .iter()
            .map(|team| TeamStatus {
                team: team.name.clone(),
                cpus: 0.0,
                gpus: 0.0,
                guaranteed_cpus: team.cpus,
                limit_cpus: team.cpus_max,
                jobs: 0,
                waiting: 0,
            })
            .collect();
        for (id, job) in &self.store.jobs {
            let Some(team) = teams.iter_mut().find(|team| team.team == job.spec.team) else {
                continue;
            };
            let JobProgress { done, running } =
                self.store.job_progress.get(id).copied().unwrap_or_default();
            team.cpus += job.spec.cpus * f64::from(running);
            team.gpus += job.spec.gpus * f64::from(running);
            if !self.store.final_states.contains_key(id) {
                team.jobs += 1;
                team.waiting += u64::from(job.spec.tasks.saturating_sub(done + running));
            }
        }
        let machines = self.leader.as_ref().map(|leader| {
            let mut counts = BTreeMap::new();
            for machine in leader.machine_status(now) {
                *counts.entry(machine.state).or_default() += 1;
            }
            counts
        });
        Status {
            node: self.settings.node.clone(),
            leader: self.store.leader.as_ref().map(|(record, _)| record.node.clone()),
            token: self.store.highest_token,
            contact_s: self.last_store_contact.map(|at| now - at),
            nodes: self
                .peers
                .iter()
                .map(|peer| NodeStatus {
                    node: peer.name.clone(),
                    heard_s: peer.last_seen.map(|at| now - at),
                    contact_s: (peer.store_contact_age_ms != u32::MAX && peer.last_seen.is_some())
                        .then(|| f64::from(peer.store_contact_age_ms) / 1000.0),
                })
                .collect(),
            teams,
            machines,
        }
    }
}

/// Logs a change that was committed at this revision, and the answer to the operator.
fn change_made(revision: u64, change: AdminChange) -> Reply {
    match change {
        AdminChange::Settings(settings) => {
            tracing::info!(version = revision, ?settings, "settings changed");
            Reply::json(200, &VersionedSettings { version: revision, settings })
        }
        AdminChange::Drain { machine, draining } => {
            tracing::info!(machine, draining, "an operator drains a machine or takes that back");
            Reply::json(200, &DrainStatus { machine, draining })
        }
    }
}
