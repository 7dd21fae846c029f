//! How long a silence has to last before the failure detector draws a conclusion from it.

use gladekeel_wire::settings::Deployment;

/// How long a deletion may take with a slow cloud API and many requests waiting, in seconds.
const MAX_DELETION_S: f64 = 15.0;
/// Heartbeat timeouts without a heartbeat, after which a machine that responds to probes and
/// whose lease has expired counts as partitioned from all controllers.
const OUTBOUND_PARTITION_TIMEOUTS: f64 = 2.0;
/// Added to that, in seconds.
const OUTBOUND_PARTITION_MARGIN_S: f64 = 4.0;
/// A silent zone is given up so long before the cancellation deadline, counted from the
/// begin of its silence, in seconds.
const ZONE_DEADLINE_MARGIN_S: f64 = 8.0;
/// A machine counts as seen recently within this fraction of the unreachable timeout, so that
/// the silence of a zone shows well before its machines count as failed.
const RECENT_FRACTION: f64 = 0.6;
/// With so many machines per processor core at most, a new leader probes all of them at once.
/// The responses of more would keep the processor busy for longer than their next
/// heartbeats take.
const MAX_PROBED_MACHINES_PER_CORE: f64 = 500.0;
/// Leases without a message, after which a machine counts as failed whatever else is known.
const MAX_SILENT_LEASES: f64 = 3.0;

/// The failure detector's limits at one time. All but the flags are in seconds.
pub(super) struct DetectionThresholds {
    /// Silence after which a machine is probed.
    pub probe_after_s: f64,
    /// Whether machines that this leader has not seen yet are probed without delay.
    pub probes_unseen_machines: bool,
    /// Silence after which a heartbeat is overdue.
    pub heartbeat_timeout_s: f64,
    /// Silence within which a machine counts as seen recently.
    pub recently_seen_s: f64,
    /// Silence after which an unresponsive machine may count as failed.
    pub unreachable_after_s: f64,
    /// How long a machine responds to probes without heartbeats before it counts as
    /// partitioned from all controllers.
    pub outbound_partition_s: f64,
    /// Silence after which a machine counts as failed although its whole zone is silent.
    pub silent_zone_s: f64,
    /// Silence after which a machine counts as failed whatever else is known.
    pub max_silence_s: f64,
    /// Whether a job that was cancelled right after the last contact with the store must soon
    /// be off every machine. This leader may not know of such a cancellation.
    pub unknown_cancellations_due: bool,
}

/// What the thresholds depend on beside the deployment.
pub(super) struct DetectionContext {
    /// The time.
    pub now: f64,
    /// The configured silence after which a machine may count as failed, in seconds.
    pub unreachable_after_s: f64,
    /// How many machines there are.
    pub machines: usize,
    /// When the request of the last successful contact with the store was sent.
    pub store_contact_at: f64,
}

impl DetectionThresholds {
    pub fn new(deployment: &Deployment, context: &DetectionContext) -> DetectionThresholds {
        let workers = &deployment.workers;
        let heartbeat_timeout_s = workers.heartbeat_timeout_s();
        let unreachable_after_s = context.unreachable_after_s;
        let max_probed_machines = MAX_PROBED_MACHINES_PER_CORE * deployment.limits.cpu_share;
        DetectionThresholds {
            probe_after_s: workers.probe_after_s(),
            probes_unseen_machines: context.machines as f64 <= max_probed_machines,
            heartbeat_timeout_s,
            recently_seen_s: RECENT_FRACTION * unreachable_after_s,
            unreachable_after_s,
            outbound_partition_s: OUTBOUND_PARTITION_TIMEOUTS * heartbeat_timeout_s
                + OUTBOUND_PARTITION_MARGIN_S,
            silent_zone_s: (workers.lease_s + 2.0 * unreachable_after_s)
                .min(workers.cancellation_deadline_s - ZONE_DEADLINE_MARGIN_S),
            max_silence_s: MAX_SILENT_LEASES * workers.lease_s,
            unknown_cancellations_due: context.now
                >= deletion_due_at(context.store_contact_at, workers.cancellation_deadline_s),
        }
    }
}

/// When machines that may still run a job must be deleted, so that the deletion is complete
/// by the deadline of a cancellation that was made at the given time.
pub(super) fn deletion_due_at(cancelled_at: f64, cancellation_deadline_s: f64) -> f64 {
    cancelled_at + cancellation_deadline_s - MAX_DELETION_S
}
