//! A leader that renews its fencing token.

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

/// A commit with an unknown outcome makes the leader renew its token, and the cloud responds
/// after the old token and before the new one. That response once got lost: the list, or the
/// deletion, counted as in flight for ever, and no other one followed.
#[test]
#[allow(clippy::too_many_lines, reason = "one course of events, told in order")]
fn cloud_responses_during_a_token_renewal_are_not_lost() {
    let mut store =
        FakeStore::new(StoreLimits { rps: 1000.0, write_rps: 1000.0, txn_ops: 8, value: 4096 });
    let mut node = Node::new(example_settings(0, 1), 7, 0.0);
    let (mut unanswered, mut leaders, mut lists) = (false, 0, 0);
    let (mut log, mut list) = (None, None);
    for step in 0..600 {
        let now = f64::from(step) * 0.05;
        let mut actions = VecDeque::from(node.handle(now, Event::Tick));
        while let Some(action) = actions.pop_front() {
            let event = match action {
                Action::CallStore { call, request, .. } => {
                    let outcome = store.call(now, 0, &request);
                    let types = |write: &Write| matches!(write, Write::Put { key, .. } if key == keys::MACHINE_TYPES);
                    match &request {
                        StoreRequest::Commit(txn)
                            if !unanswered && txn.writes.iter().any(types) =>
                        {
                            unanswered = true;
                            Event::Store { call, outcome: StoreOutcome::Unknown }
                        }
                        StoreRequest::List { prefix, .. }
                            if prefix == keys::ASSIGNMENT_LOG_PREFIX =>
                        {
                            leaders += 1;
                            if leaders == 2 {
                                log = Some((call, outcome));
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
                    lists += 1;
                    list = Some(call);
                    continue;
                }
                _ => continue,
            };
            actions.extend(node.handle(now, event));
        }
        if let (Some((call, outcome)), Some(open)) = (log.take(), list) {
            assert!(node.leader().is_none(), "between two tokens");
            let page = MachinePage { machines: Vec::new(), truncated: false };
            node.handle(now, Event::Cloud { call: open, outcome: CloudOutcome::List(page) });
            node.handle(now, Event::Store { call, outcome });
            assert!(node.leader().is_some());
            lists = 0;
        }
    }
    assert_eq!((unanswered, leaders), (true, 2));
    assert!(lists > 0, "the machine list is never read again");
}
