//! A team's tasks on machines use no more CPUs and GPUs than the team's limit.
//!
//! What may still run on an unreachable machine counts, as what is on the machine counts
//! here, whatever the controllers believe.

use super::{Invariant, InvariantChecker, ROUNDING, running_tasks::TeamUsage};

impl InvariantChecker {
    pub(super) fn check_quota(&mut self, now: f64, team: &str) {
        let TeamUsage { cpus, gpus } = self.running.used_by_team(team);
        let limit = self.deployment.teams.iter().find(|limit| limit.name == team);
        let exceeded = limit.is_some_and(|limit| {
            cpus > limit.cpus_max + ROUNDING || gpus > limit.gpus_max + ROUNDING
        });
        if exceeded {
            self.report(Invariant::TeamQuota, format!("{now:.2}: {team} uses {cpus} CPUs"));
        }
    }
}
