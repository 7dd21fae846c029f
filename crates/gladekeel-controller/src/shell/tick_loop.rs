//! Ticks of the node's clock, and the wait at startup until the node is ready to serve requests.

use super::Shell;
use crate::{node::Event, socket_budget::SocketBudget};
use gladekeel_http::ConnectionCounts;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which a starting process waits until the leader is known before it serves
/// requests.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

/// Passes a tick to the node every [`TICK_INTERVAL`]. Before each tick, limits the pool of
/// connections to workers to the sockets that the inbound connections leave unused, records the
/// socket usage for the metrics, and passes on the time of day.
pub(super) async fn run(shell: Rc<Shell>, sockets: SocketBudget, inbound: Rc<ConnectionCounts>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shell.calls.resize_worker_pool(sockets.max_worker_calls(inbound.open()));
        shell.node.borrow_mut().record_sockets(shell.socket_usage(&inbound));
        shell.set_wall_clock();
        tick(&shell);
    }
}

/// Passes a tick to the node, and records how long the tick took if the node ran a scheduling
/// cycle.
fn tick(shell: &Rc<Shell>) {
    let cycles_before = scheduling_cycles(shell);
    let start = Instant::now();
    shell.handle(Event::Tick);
    let cycles_after = scheduling_cycles(shell);
    if cycles_after.is_some() && cycles_after != cycles_before {
        shell.node.borrow_mut().record_scheduling_cycle(start.elapsed().as_secs_f64());
    }
}

/// The number of scheduling cycles since this node became the leader; `None` if it does not
/// lead.
fn scheduling_cycles(shell: &Shell) -> Option<u64> {
    shell.node.borrow().leader().map(|leader| leader.counters().scheduling_cycles)
}

/// Waits until the node has read the store and knows the leader, for [`READY_TIMEOUT`] at most.
///
/// After all controllers have restarted, thousands of workers connect at once. Serving the
/// workers first would keep a small processor busy for seconds before a leader is elected, so
/// their connections wait in the listener's backlog.
pub(super) async fn wait_until_ready_to_serve(shell: &Shell) {
    let ready = async {
        while !shell.node.borrow().is_ready_to_serve(shell.now_s()) {
            sleep(TICK_INTERVAL).await;
        }
    };
    if timeout(READY_TIMEOUT, ready).await.is_err() {
        tracing::info!("serving requests before the leader is known");
    }
}
