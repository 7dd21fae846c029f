//! Reports that reach a node: the leader's own, and those that must be sent on.

use crate::{leader::Leader, store_view::StoreView};
use gladekeel_wire::worker::{Command, Heartbeat, HeartbeatResponse, Redirect, TaskState};
use std::collections::{HashMap, VecDeque};

/// A worker that comes back within this time after being sent to the leader
/// could not reach it.
const TRY_LEADER_S: f64 = 12.0;
/// The same while its reports are passed on to the leader, so that nothing is
/// lost by not trying.
const TRY_RELAYED_S: f64 = 45.0;

/// How a report is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatRoute {
    /// 200.
    Respond(HeartbeatResponse),
    /// The worker cannot reach the leader: pass its report on, and answer with
    /// this, which keeps its lease, if the leader cannot be reached either.
    RelayWithFallback(HeartbeatResponse),
    /// The leader shares the work of hearing workers: pass the report on. If the leader does
    /// not answer, this keeps the worker's lease; without it this node may not keep it.
    Relay(Option<HeartbeatResponse>),
    /// 421: report to that node.
    Redirect(Redirect),
    /// 503: this node is not entitled to act.
    NotEntitled,
}

/// The state of a node as a report arrives.
pub struct HeartbeatContext<'a> {
    /// The time.
    pub now: f64,
    /// The store as last seen.
    pub store: &'a StoreView,
    /// Another node that leads, and is known to do so now.
    pub leader_elsewhere: Option<&'a str>,
    /// Whether tasks may be kept alive: the store was heard of recently enough
    /// for a cancellation that this node has not heard of to end in time.
    pub may_renew_leases: bool,
    /// Whether the store was heard of just now.
    pub store_contact_fresh: bool,
    /// Whether reports can be passed on to the leader.
    pub may_relay: bool,
    /// Whether the leader expects other nodes to keep their workers and pass reports on.
    pub leader_expects_relays: bool,
}

/// A worker that was redirected to the leader.
#[derive(Debug, Clone, Copy)]
struct Redirected {
    at: f64,
    token: u64,
}

/// Answers reports, and remembers which workers were redirected to the leader.
#[derive(Debug, Default)]
pub struct HeartbeatRouter {
    redirected: HashMap<String, Redirected>,
    /// The same in order, to forget the oldest ones.
    order: VecDeque<(f64, String)>,
}

impl HeartbeatRouter {
    fn forget_old(&mut self, now: f64) {
        while self.order.front().is_some_and(|(at, _)| now - at >= 10.0 * TRY_LEADER_S) {
            let Some((at, machine)) = self.order.pop_front() else { return };
            // It may have been redirected once more since.
            if self.redirected.get(&machine).is_some_and(|last| last.at <= at) {
                self.redirected.remove(&machine);
            }
        }
    }

    /// Answers a report.
    pub fn route(
        &mut self,
        context: &HeartbeatContext<'_>,
        leader: Option<&mut Leader>,
        report: &Heartbeat,
    ) -> HeartbeatRoute {
        let now = context.now;
        if let Some(leader) = leader {
            // A worker that has seen a higher token would drop the answer.
            if !context.may_renew_leases || report.token > leader.token {
                return HeartbeatRoute::NotEntitled;
            }
            return HeartbeatRoute::Respond(leader.on_heartbeat(
                now,
                report,
                context.store_contact_fresh,
            ));
        }
        if context.leader_expects_relays {
            return HeartbeatRoute::Relay(lease_renewal(context, report));
        }
        let token = context.store.highest_token;
        if let Some(name) = context.leader_elsewhere {
            self.forget_old(now);
            let last = self.redirected.get(&report.machine);
            let again_s = if context.may_relay { TRY_RELAYED_S } else { TRY_LEADER_S };
            if last.is_none_or(|last| now - last.at >= again_s || last.token != token) {
                self.redirected.insert(report.machine.clone(), Redirected { at: now, token });
                self.order.push_back((now, report.machine.clone()));
                return HeartbeatRoute::Redirect(Redirect { report_to: Some(name.to_owned()) });
            }
        }
        lease_renewal(context, report)
            .map_or(HeartbeatRoute::NotEntitled, HeartbeatRoute::RelayWithFallback)
    }
}

/// The answer of a node that does not lead and cannot ask the leader, if it is entitled to
/// one: it keeps the worker's tasks alive, except those that were cancelled.
fn lease_renewal(context: &HeartbeatContext<'_>, report: &Heartbeat) -> Option<HeartbeatResponse> {
    let token = context.store.highest_token;
    if !context.may_renew_leases || token == 0 || report.token > token {
        return None;
    }
    let cancelled = report.tasks.iter().filter(|task| {
        task.state != TaskState::Exited && context.store.is_cancelled(&task.task.job)
    });
    let commands = cancelled
        .map(|task| Command::Stop { task: task.task.clone(), attempt: task.attempt, grace_s: 0.0 })
        .collect();
    Some(HeartbeatResponse { token, commands })
}
