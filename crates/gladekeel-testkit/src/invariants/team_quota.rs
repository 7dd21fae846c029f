//! A team's tasks on machines use no more CPUs and GPUs than the team's limit.
//!
//! The check counts the tasks that really are on machines, whatever the controllers assume.
//! Controllers must therefore also count the tasks that may still run on an unreachable machine
//! towards the limit.

use super::{Invariant, InvariantChecker, LIMIT_TOLERANCE, running_tasks::TeamUsage};

impl InvariantChecker {
    pub(super) fn check_team_quota(&mut self, now: f64, team: &str) {
        let TeamUsage { cpus, gpus } = self.running.used_by_team(team);
        let limit = self.deployment.teams.iter().find(|limit| limit.name == team);
        let exceeded = limit.is_some_and(|limit| {
            cpus > limit.cpus_max + LIMIT_TOLERANCE || gpus > limit.gpus_max + LIMIT_TOLERANCE
        });
        if exceeded {
            let details = format!("{now:.2}: {team} uses {cpus} CPUs and {gpus} GPUs");
            self.report(Invariant::TeamQuota, details);
        }
    }
}
