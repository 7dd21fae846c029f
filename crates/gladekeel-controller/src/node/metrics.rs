//! The metrics that a node exposes to Prometheus.
//!
//! Names and help texts are part of the operators' interface and stay unchanged, even where the
//! code now uses other terms.

use super::{Node, RequestId, admin_requests::machines_by_state};
use crate::{
    http_api::Route,
    leader::Leader,
    prometheus::{DurationHistogram, Exposition, MetricType},
    socket_budget::SocketUsage,
};
use std::collections::{BTreeMap, HashMap};

/// A request whose latency is being measured.
#[derive(Debug)]
struct TimedRequest {
    /// The metric label of the request's route.
    label: &'static str,
    received_at: f64,
}

/// Measures the latency of requests, by the metric label of their route.
#[derive(Debug, Default)]
pub(super) struct RequestTimers {
    /// Requests to which the node has not replied yet.
    in_progress: HashMap<RequestId, TimedRequest>,
    latencies: BTreeMap<&'static str, DurationHistogram>,
}

impl RequestTimers {
    /// Starts the timer of a request, if its route has a metric label.
    pub fn start(&mut self, now: f64, id: RequestId, route: &Route) {
        if let Some(label) = route.metric_label() {
            self.in_progress.insert(id, TimedRequest { label, received_at: now });
        }
    }

    /// Records the latency of a request to which the node has replied.
    pub fn finish(&mut self, now: f64, id: RequestId) {
        if let Some(TimedRequest { label, received_at }) = self.in_progress.remove(&id) {
            self.latencies.entry(label).or_default().record(now - received_at);
        }
    }

    fn expose(&self, out: &mut Exposition) {
        out.header(MetricType::Gauge, "request_seconds", "Time to answer, by quantile.");
        for (label, durations) in &self.latencies {
            for (quantile, seconds) in durations.quantiles() {
                let quantile = quantile.to_string();
                let labels = [("request", *label), ("quantile", quantile.as_str())];
                out.sample("request_seconds", &labels, seconds);
            }
        }
        let counts = self.latencies.iter().map(|(label, durations)| (label, durations.count()));
        let help = "Requests answered.";
        out.family(MetricType::Counter, "requests_total", help, "request", counts);
    }
}

/// Metrics that only the process around a node can measure, since the node has no clock and no
/// sockets.
#[derive(Debug, Default)]
pub(super) struct ProcessMetrics {
    scheduling_cycles: DurationHistogram,
    sockets: SocketUsage,
}

impl ProcessMetrics {
    fn expose(&self, max_sockets: usize, out: &mut Exposition) {
        expose_scheduling_cycles(&self.scheduling_cycles, out);
        let SocketUsage { users, workers, unclassified, worker_calls, peers } = self.sockets;
        let uses = [
            ("users", users),
            ("workers", workers),
            ("unknown", unclassified),
            ("calls", worker_calls),
            ("mesh", peers),
        ];
        let samples = uses.map(|(name, count)| (name, count as f64));
        out.family(MetricType::Gauge, "sockets", "Connections held, by use.", "use", samples);
        let help = "Connections that the process may hold.";
        out.gauge("sockets_limit", help, max_sockets as f64);
    }
}

fn expose_scheduling_cycles(cycles: &DurationHistogram, out: &mut Exposition) {
    out.header(MetricType::Summary, "round_seconds", "Time that a round of decisions takes.");
    for (quantile, seconds) in cycles.quantiles() {
        out.sample("round_seconds", &[("quantile", &quantile.to_string())], seconds);
    }
    out.sample("round_seconds_sum", &[], cycles.sum_s());
    out.sample("round_seconds_count", &[], cycles.count());
    let help = "Longest round since the process began.";
    out.gauge("round_seconds_max", help, cycles.max_s());
}

impl Node {
    /// Records how long a scheduling cycle took, in seconds.
    pub fn record_scheduling_cycle(&mut self, seconds: f64) {
        self.process_metrics.scheduling_cycles.record(seconds);
    }

    /// Records how many connections the process holds.
    pub fn record_sockets(&mut self, sockets: SocketUsage) {
        self.process_metrics.sockets = sockets;
    }

    /// Renders all metrics in the Prometheus text format.
    pub(super) fn render_metrics(&self, now: f64) -> String {
        let mut out = Exposition::default();
        self.request_timers.expose(&mut out);
        self.expose_node(now, &mut out);
        self.process_metrics.expose(self.deployment.limits.max_connections, &mut out);
        if let Some(leader) = self.leadership.leader() {
            expose_leader(leader, now, &mut out);
        }
        out.into_text()
    }

    fn expose_node(&self, now: f64, out: &mut Exposition) {
        let is_leading = f64::from(u8::from(self.leadership.is_leading()));
        out.gauge("leading", "Whether this node leads.", is_leading);
        out.gauge("token", "The fencing token.", self.store.view.highest_token as f64);
        let takeovers = self.leadership.acquisition_count() as f64;
        out.counter("takeovers_total", "Times that this node began to lead.", takeovers);
        if let Some(contact) = self.store.last_contact() {
            let help = "Age of the last contact to the state service.";
            out.gauge("state_contact_seconds", help, now - contact);
        }
        let requests = self.calls.store_requests() as f64;
        out.counter("state_requests_total", "Requests to the state service.", requests);
        let writes = self.calls.store_writes() as f64;
        out.counter("state_writes_total", "Puts and deletes asked for.", writes);
        let queued = self.user_requests.len() as f64;
        out.gauge("waiting_requests", "Requests that wait for the store.", queued);
        let answers = self.heartbeats.answer_counts();
        let help = "Heartbeats of workers answered, by how.";
        out.family(MetricType::Counter, "heartbeats_total", help, "answer", answers);
    }
}

/// Exposes the metrics that only a leader has.
fn expose_leader(leader: &Leader, now: f64, out: &mut Exposition) {
    expose_leader_counters(leader, out);
    let states = machines_by_state(leader, now);
    let states = states.into_iter().map(|(state, count)| (state, f64::from(count)));
    out.family(MetricType::Gauge, "machines", "Machines by state.", "state", states);
    let oldest_s = leader.oldest_job_s(now).unwrap_or(0.0);
    out.gauge("oldest_job_seconds", "Age of the oldest unfinished job.", oldest_s);
    let segments = leader.log_segments() as f64;
    out.gauge("log_segments", "Segments of the leader's log in use.", segments);
    let kept = leader.kept_ended_attempts() as f64;
    out.gauge("ended_attempts_kept", "Ended attempts that workers must not forget yet.", kept);
    let backlog = leader.backlog();
    out.gauge("open_jobs", "Unfinished jobs.", backlog.jobs as f64);
    out.gauge("waiting_tasks", "Tasks on no machine.", backlog.pending_tasks as f64);
}

fn expose_leader_counters(leader: &Leader, out: &mut Exposition) {
    let counters = leader.counters();
    for (name, help, value) in [
        ("rounds_total", "Rounds of decisions.", counters.scheduling_cycles),
        (
            "machines_looked_at_total",
            "Times that placing looked at a machine.",
            counters.machines_examined,
        ),
        ("commits_total", "Commits of the leader.", counters.commits),
        ("commit_writes_total", "Writes in them; by commits, the batch size.", counters.writes),
        ("task_starts_total", "Task starts committed.", counters.task_starts),
        ("task_restarts_total", "Tasks started anew for slowness.", counters.straggler_restarts),
        ("preemptions_total", "Tasks stopped to make room.", counters.preemptions),
        ("task_failures_total", "Tasks that failed.", counters.task_failures),
        ("direct_starts_total", "Starts sent outside heartbeats.", counters.direct_starts),
        (
            "heartbeat_starts_total",
            "Starts sent in heartbeat responses.",
            counters.heartbeat_starts,
        ),
        ("forgets_total", "Forget commands sent.", counters.forgets),
        ("machines_rented_total", "Machines rented.", counters.machines_rented),
        ("machines_deleted_total", "Machines deleted.", counters.machines_deleted),
    ] {
        out.counter(name, help, value as f64);
    }
    let releases = [
        ("exited", counters.releases.exited),
        ("absent", counters.releases.absent),
        ("new incarnation", counters.releases.new_incarnation),
        ("machine deleted", counters.releases.machine_deleted),
        ("stored completion", counters.releases.stored_completion),
    ];
    let releases = releases.map(|(proof, count)| (proof, count as f64));
    let help = "Attempts released, by proof.";
    out.family(MetricType::Counter, "attempts_released_total", help, "proof", releases);
    let cost = [
        ("boot", counters.cost.boot),
        ("idle", counters.cost.idle),
        ("gaps", counters.cost.gaps),
        ("waiting", counters.cost.waiting),
        ("running", counters.cost.running),
    ];
    let help = "Estimate of the money spent since this node leads.";
    out.family(MetricType::Counter, "spend_estimate", help, "on", cost);
}
