//! The time limits by which the failure detector decides whether to probe or to delete a machine.

use gladekeel_wire::settings::Deployment;

/// How long a deletion may take with a slow cloud API and many queued requests, in seconds.
const MAX_DELETION_S: f64 = 15.0;
/// A machine that responds to probes and whose lease has expired counts as partitioned from all
/// controllers after this many heartbeat timeouts without a heartbeat.
const OUTBOUND_PARTITION_TIMEOUTS: f64 = 2.0;
/// Margin in seconds that is added to [`OUTBOUND_PARTITION_TIMEOUTS`] heartbeat timeouts.
const OUTBOUND_PARTITION_MARGIN_S: f64 = 4.0;
/// If no messages arrive from a whole zone, its machines count as failed at least this many seconds
/// before the cancellation deadline of a job that is cancelled when the messages cease.
const ZONE_DEADLINE_MARGIN_S: f64 = 8.0;
/// A machine counts as recently seen while the time since its last message is below this fraction
/// of the unreachable timeout. That a whole zone is unreachable is therefore noticed well before
/// its machines count as failed.
const RECENTLY_SEEN_FRACTION: f64 = 0.6;
/// The highest number of machines per processor core at which a new leader probes all machines at
/// once. The responses of more machines would take longer to process than their next heartbeats
/// take to arrive.
const MAX_PROBED_MACHINES_PER_CORE: f64 = 500.0;
/// The number of lease durations without a message from a machine after which the machine counts as
/// failed, whatever the state of its zone.
const MAX_SILENT_LEASES: f64 = 3.0;

/// The thresholds of one pass of the failure detector. All fields except the flags are in seconds.
pub(super) struct DetectionThresholds {
    /// Time since the last message from a machine after which the machine is probed.
    pub probe_after_s: f64,
    /// Whether machines that this leader has not yet seen are probed immediately.
    pub probes_unseen_machines: bool,
    /// Time since the last message from a machine after which its heartbeat is overdue.
    pub heartbeat_timeout_s: f64,
    /// Time since the last message from a machine below which the machine counts as recently seen.
    pub recently_seen_s: f64,
    /// Time since the last message from an unresponsive machine after which the machine may count
    /// as failed.
    pub unreachable_after_s: f64,
    /// Time after which a machine that responds to probes, but from which no heartbeats arrive,
    /// counts as partitioned from all controllers.
    pub outbound_partition_s: f64,
    /// Time since the last message from a machine after which the machine counts as failed, even if
    /// no messages arrive from its whole zone.
    pub silent_zone_s: f64,
    /// Time since the last message from a machine after which the machine counts as failed,
    /// whatever the state of its zone and of other machines.
    pub max_silence_s: f64,
    /// Whether machines must be deleted now to meet the cancellation deadline of a job that was
    /// cancelled right after the last contact with the store. This leader may not know of such a
    /// cancellation.
    pub unknown_cancellations_due: bool,
}

/// The values on which the thresholds depend, in addition to the deployment.
pub(super) struct DetectionContext {
    /// The current time, in seconds on the node's clock.
    pub now: f64,
    /// The configured time since the last message from a machine after which the machine may count
    /// as failed, in seconds.
    pub unreachable_after_s: f64,
    /// The number of machines in the cluster.
    pub machines: usize,
    /// When this node sent the newest of the store requests that have received a response.
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
            recently_seen_s: RECENTLY_SEEN_FRACTION * unreachable_after_s,
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

/// The time at which machines that may still run a job cancelled at `cancelled_at` must be deleted,
/// so that their deletion is complete by the cancellation deadline.
pub(super) fn deletion_due_at(cancelled_at: f64, cancellation_deadline_s: f64) -> f64 {
    cancelled_at + cancellation_deadline_s - MAX_DELETION_S
}
