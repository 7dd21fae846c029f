//! What controllers and the cloud say to each other.

use serde::{Deserialize, Serialize};

/// The most machines one rental may ask for.
pub const MAX_MACHINES_PER_RENT_REQUEST: u32 = 50;
/// The most machines one deletion may name.
pub const MAX_MACHINES_PER_DELETE_REQUEST: usize = 100;
/// The most machines one page of the list may hold.
pub const MAX_MACHINES_PER_PAGE: usize = 500;

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Room for images in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate of image fetches.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    pub price: f64,
    /// Current spot price per hour.
    #[serde(rename = "market_price", default)]
    pub spot_price: Option<f64>,
    /// Usual boot time in seconds.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// Zones where it exists.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// All machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// A rental request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// The request's name; never used for a second request.
    #[serde(rename = "charter")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Machines by name: the answer to a rental, and the body of a deletion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "berths")]
    pub machines: Vec<String>,
}

/// What the cloud says of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// Up.
    Running,
    /// Stopped by itself.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// A row of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name; names are ordered by creation.
    #[serde(rename = "name_id")]
    pub name: String,
    /// Its worker's address.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// State.
    #[serde(rename = "trim")]
    pub state: MachineState,
    /// Age since the rental request, at the time that the list describes.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// The rows.
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// Whether there is more.
    #[serde(rename = "truncated", default)]
    pub truncated: bool,
}
