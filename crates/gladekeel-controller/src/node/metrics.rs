//! Metrics in the Prometheus text format.

use super::Node;
use crate::{
    leader::Leader,
    prometheus::{DurationHistogram, Exposition, MetricType},
    socket_budget::SocketUse,
};
use std::collections::BTreeMap;

/// How long requests took, by what they asked for.
#[derive(Debug, Default)]
pub(crate) struct Latencies(BTreeMap<&'static str, DurationHistogram>);

impl Latencies {
    /// Notes a request that took so long.
    pub(crate) fn note(&mut self, what: &'static str, seconds: f64) {
        self.0.entry(what).or_default().record(seconds);
    }
}

/// What only the process around a node can measure: the node has no clock and no sockets.
#[derive(Debug, Default)]
pub(crate) struct ProcessMetrics {
    rounds: DurationHistogram,
    sockets: SocketUse,
}

impl Node {
    /// Notes how long a round of decisions took.
    pub fn record_round(&mut self, seconds: f64) {
        self.process.rounds.record(seconds);
    }

    /// Notes how many connections the process holds.
    pub fn record_sockets(&mut self, sockets: SocketUse) {
        self.process.sockets = sockets;
    }

    /// Metrics in the Prometheus text format.
    pub(crate) fn metrics(&self, now: f64) -> String {
        let mut out = Exposition::default();
        self.request_metrics(&mut out);
        self.node_metrics(now, &mut out);
        self.process_metrics(&mut out);
        if let Some(leader) = &self.leader {
            leader_metrics(leader, now, &mut out);
        }
        out.into_text()
    }

    fn request_metrics(&self, out: &mut Exposition) {
        out.header(MetricType::Gauge, "request_seconds", "Time to answer, by quantile.");
        for (what, durations) in &self.latencies.0 {
            for (quantile, seconds) in durations.quantiles() {
                let quantile = quantile.to_string();
                let labels = [("request", *what), ("quantile", quantile.as_str())];
                out.sample("request_seconds", &labels, seconds);
            }
        }
        let counts = self.latencies.0.iter().map(|(what, durations)| (what, durations.count()));
        out.family(MetricType::Counter, "requests_total", "Requests answered.", "request", counts);
    }

    fn node_metrics(&self, now: f64, out: &mut Exposition) {
        let leading = f64::from(u8::from(self.leader.is_some()));
        out.gauge("leading", "Whether this node leads.", leading);
        out.gauge("token", "The fencing token.", self.store.highest_token as f64);
        let takeovers = self.leadership as f64;
        out.counter("takeovers_total", "Times that this node began to lead.", takeovers);
        if let Some(contact) = self.last_store_contact {
            let help = "Age of the last contact to the state service.";
            out.gauge("state_contact_seconds", help, now - contact);
        }
        let requests = self.store_requests as f64;
        out.counter("state_requests_total", "Requests to the state service.", requests);
        let writes = self.store_writes as f64;
        out.counter("state_writes_total", "Puts and deletes asked for.", writes);
        let waiting = self.user_queue.len() as f64;
        out.gauge("waiting_requests", "Requests that wait for the store.", waiting);
    }

    fn process_metrics(&self, out: &mut Exposition) {
        let ProcessMetrics { rounds, sockets } = &self.process;
        out.header(MetricType::Summary, "round_seconds", "Time that a round of decisions takes.");
        for (quantile, seconds) in rounds.quantiles() {
            out.sample("round_seconds", &[("quantile", &quantile.to_string())], seconds);
        }
        out.sample("round_seconds_sum", &[], rounds.sum_s());
        out.sample("round_seconds_count", &[], rounds.count());
        out.gauge("round_seconds_max", "Longest round since the process began.", rounds.max_s());
        let uses = [
            ("users", sockets.users),
            ("workers", sockets.workers),
            ("unknown", sockets.unknown),
            ("calls", sockets.calls),
            ("mesh", sockets.mesh),
        ];
        let uses = uses.map(|(name, count)| (name, count as f64));
        out.family(MetricType::Gauge, "sockets", "Connections held, by use.", "use", uses);
        let limit = self.deployment.limits.max_connections as f64;
        out.gauge("sockets_limit", "Connections that the process may hold.", limit);
    }
}

/// What only a leader knows.
fn leader_metrics(leader: &Leader, now: f64, out: &mut Exposition) {
    let counts = leader.counters();
    for (name, help, value) in [
        ("rounds_total", "Rounds of decisions.", counts.scheduling_cycles),
        (
            "machines_looked_at_total",
            "Times that placing looked at a machine.",
            counts.machines_examined,
        ),
        ("commits_total", "Commits of the leader.", counts.commits),
        ("commit_writes_total", "Writes in them; by commits, the batch size.", counts.writes),
        ("task_starts_total", "Task starts committed.", counts.starts),
        ("task_restarts_total", "Tasks started anew for slowness.", counts.restarts),
        ("preemptions_total", "Tasks stopped to make room.", counts.preemptions),
        ("task_failures_total", "Tasks that failed.", counts.failures),
        ("machines_rented_total", "Machines rented.", counts.rented),
        ("machines_deleted_total", "Machines deleted.", counts.deleted),
    ] {
        out.counter(name, help, value as f64);
    }
    let spend = [
        ("boot", counts.cost.boot),
        ("idle", counts.cost.idle),
        ("gaps", counts.cost.gaps),
        ("waiting", counts.cost.waiting),
        ("running", counts.cost.running),
    ];
    let help = "Estimate of the money spent since this node leads.";
    out.family(MetricType::Counter, "spend_estimate", help, "on", spend);
    let mut states: BTreeMap<String, f64> = BTreeMap::new();
    for machine in leader.machine_status(now) {
        *states.entry(machine.state).or_default() += 1.0;
    }
    out.family(MetricType::Gauge, "machines", "Machines by state.", "state", states);
    let oldest_s = leader.oldest_job_s(now).unwrap_or(0.0);
    out.gauge("oldest_job_seconds", "Age of the oldest unfinished job.", oldest_s);
    let segments = leader.log_segments() as f64;
    out.gauge("log_segments", "Segments of the leader's log in use.", segments);
    let backlog = leader.backlog();
    out.gauge("open_jobs", "Unfinished jobs.", backlog.jobs as f64);
    out.gauge("waiting_tasks", "Tasks on no machine.", backlog.pending_tasks as f64);
}
