//! Renewal of the leader's fencing token.

use gladekeel_controller::{
    cloud_api::{CloudOutcome, CloudRequest},
    keys,
    node::{Action, Event, Node},
};
use gladekeel_store::{StoreOutcome, StoreRequest};
use gladekeel_testkit::{
    scenario::{example_settings, example_type},
    stand_ins::store::{FakeStore, StoreLimits},
};
use gladekeel_wire::{
    cloud::{MachinePage, MachineTypes},
    store::Write,
};
use std::collections::VecDeque;

/// Guards against losing a response of the cloud during a token renewal. A commit with an unknown
/// outcome makes the leader renew its fencing token, and the response arrives when the old token is
/// no longer in use and the new one is not in use yet. Such a response was once dropped: the leader
/// kept waiting for the response to its request to list or delete machines, and never sent another
/// such request.
#[test]
#[allow(clippy::too_many_lines, reason = "a single sequence of events")]
fn cloud_responses_during_a_token_renewal_are_not_lost() {
    let mut store =
        FakeStore::new(StoreLimits { rps: 1000.0, write_rps: 1000.0, txn_ops: 8, value: 4096 });
    let mut node = Node::new(example_settings(0, 1), 7, 0.0);
    let (mut commit_unanswered, mut log_reads, mut list_requests) = (false, 0, 0);
    let (mut delayed_log_page, mut unanswered_list) = (None, None);
    for step in 0..600 {
        let now = f64::from(step) * 0.05;
        let mut actions = VecDeque::from(node.handle(now, Event::Tick));
        while let Some(action) = actions.pop_front() {
            let event = match action {
                Action::CallStore { call, request, .. } => {
                    let outcome = store.call(now, 0, &request);
                    let puts_machine_types = |write: &Write| matches!(write, Write::Put { key, .. } if key == keys::MACHINE_TYPES);
                    match &request {
                        StoreRequest::Commit(txn)
                            if !commit_unanswered && txn.writes.iter().any(puts_machine_types) =>
                        {
                            commit_unanswered = true;
                            Event::Store { call, outcome: StoreOutcome::Unknown }
                        }
                        StoreRequest::List { prefix, .. }
                            if prefix == keys::ASSIGNMENT_LOG_PREFIX =>
                        {
                            log_reads += 1;
                            if log_reads == 2 {
                                delayed_log_page = Some((call, outcome));
                                continue;
                            }
                            Event::Store { call, outcome }
                        }
                        _ => Event::Store { call, outcome },
                    }
                }
                Action::CallCloud { call, request: CloudRequest::ListMachineTypes, .. } => {
                    Event::Cloud {
                        call,
                        outcome: CloudOutcome::Types(MachineTypes {
                            types: vec![example_type(vec!["a".into()])],
                        }),
                    }
                }
                Action::CallCloud { call, request: CloudRequest::ListMachines { .. }, .. } => {
                    list_requests += 1;
                    unanswered_list = Some(call);
                    continue;
                }
                _ => continue,
            };
            actions.extend(node.handle(now, event));
        }
        if let (Some((call, outcome)), Some(list_call)) = (delayed_log_page.take(), unanswered_list)
        {
            assert!(
                node.leader().is_none(),
                "the node leads before it has read the assignment log again"
            );
            let page = MachinePage { machines: Vec::new(), truncated: false };
            node.handle(now, Event::Cloud { call: list_call, outcome: CloudOutcome::List(page) });
            node.handle(now, Event::Store { call, outcome });
            assert!(node.leader().is_some());
            list_requests = 0;
        }
    }
    assert_eq!((commit_unanswered, log_reads), (true, 2));
    assert!(list_requests > 0, "the leader never lists the machines again");
}
