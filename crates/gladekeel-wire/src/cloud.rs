//! The cloud provider's API: listing machine types; creating, listing and deleting machines.
//!
//! Requests are rate limited for all controllers together, and the machine list lags behind the
//! actual state of the cloud (see [`CloudLimits`](crate::settings::CloudLimits)).

use serde::{Deserialize, Serialize};

/// Maximum number of machines that one [`CreateMachinesRequest`] may create.
pub const MAX_MACHINES_PER_CREATE_REQUEST: u32 = 50;
/// Maximum number of machines that one delete request may name.
pub const MAX_MACHINES_PER_DELETE_REQUEST: usize = 100;
/// Maximum number of machines in one page of the machine list.
pub const MAX_MACHINES_PER_PAGE: usize = 500;

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// CPU capacity.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPU capacity; 0 if the type has no GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory capacity in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Capacity of the image cache in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    pub price: f64,
    /// Current spot price per hour; `None` if there are no spot instances of this type.
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    /// Usual time from the request for a machine until its worker is running, in seconds.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// Zones that offer the type.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// All machine types that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types, in the cloud's order.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// A request to create machines. Requests are idempotent by
/// [`request_id`](CreateMachinesRequest::request_id): repeating a request whose outcome is unknown
/// creates no further machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CreateMachinesRequest {
    /// Idempotency key, which is never reused for another request.
    #[serde(rename = "charter")]
    pub request_id: String,
    /// Type of the machines.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to create spot instances instead of on-demand ones.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Number of machines, at most [`MAX_MACHINES_PER_CREATE_REQUEST`].
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: the response to a [`CreateMachinesRequest`], and the body of a delete
/// request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "berths")]
    pub machines: Vec<String>,
}

/// The state of a machine in the machine list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine has been created and is not running yet.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is running, and its worker may have started.
    Running,
    /// The machine has crashed, or the cloud has terminated it, for example to reclaim a spot
    /// instance.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// An entry of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine. Names sort by the creation time of the machines.
    #[serde(rename = "name_id")]
    pub name: String,
    /// Address of the machine's worker; `None` until the worker has one.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Type of the machine.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "trim")]
    pub state: MachineState,
    /// Seconds from the request that created the machine to the time that the list describes,
    /// which lies [`list_lag_s`](crate::settings::CloudLimits::list_lag_s) in the past.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// The entries, sorted by name.
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "truncated", default)]
    pub truncated: bool,
}
