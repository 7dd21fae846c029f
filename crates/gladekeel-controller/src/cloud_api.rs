//! Requests to the cloud and their outcomes.
//!
//! [`CloudRequest::encode`] and [`CloudRequest::decode`] implement the cloud's HTTP protocol. The
//! leader's autoscaler decides which requests are sent.

use gladekeel_wire::cloud::{
    CreateMachinesRequest, MAX_MACHINES_PER_PAGE, MachineNames, MachinePage, MachineTypes,
};
use gladekeel_wire::{http::HttpRequest, job::ErrorBody};

/// The error text of the cloud's response if the requested pool (machine type, zone, spot or
/// on-demand) has no machines to rent.
const NO_CAPACITY: &str = "no capacity";

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// List the machine types and their prices.
    ListMachineTypes,
    /// Rent machines.
    Rent(CreateMachinesRequest),
    /// Delete the machines with these names.
    Delete(Vec<String>),
    /// List a page of the machines.
    ListMachines {
        /// The name of the machine after which the page starts; `None` for the first page.
        after: Option<String>,
    },
}

/// The outcome of a request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudOutcome {
    /// The machine types and their prices.
    Types(MachineTypes),
    /// Machines with these names were rented, possibly fewer than requested.
    Rented(Vec<String>),
    /// The requested pool (machine type, zone, spot or on-demand) has no machines to rent; the
    /// request was not executed.
    NoCapacity,
    /// The machines were deleted.
    Deleted,
    /// A page of the list of machines.
    List(MachinePage),
    /// The cloud's rate limit was exceeded; the request was not executed.
    RateLimited,
    /// The cloud was unavailable, or the request was never sent; the request was not executed.
    Unavailable,
    /// The cloud rejected the request as malformed; the request was not executed.
    Rejected,
    /// No readable response was received: the request may have been executed, or may be executed
    /// later.
    Unknown,
}

impl CloudRequest {
    /// Encodes the request as an HTTP request of the cloud's protocol.
    pub fn encode(&self) -> HttpRequest {
        match self {
            CloudRequest::ListMachineTypes => HttpRequest::get("/flavors"),
            CloudRequest::Rent(rent) => HttpRequest::post("/machines", rent),
            CloudRequest::Delete(names) => {
                let body = MachineNames { machines: names.clone() };
                HttpRequest::post("/machines/delete", &body)
            }
            CloudRequest::ListMachines { after } => {
                let since = after.as_ref().map(|name| format!("since={name}&"));
                let since = since.unwrap_or_default();
                HttpRequest::get(format!("/machines?{since}limit={MAX_MACHINES_PER_PAGE}"))
            }
        }
    }

    /// Decodes the outcome of the request from the status and body of its response.
    pub fn decode(&self, status: u16, body: &[u8]) -> CloudOutcome {
        use CloudOutcome::{
            Deleted, List, NoCapacity, RateLimited, Rejected, Rented, Types, Unavailable, Unknown,
        };
        match (status, self) {
            (429, _) => RateLimited,
            (503, CloudRequest::Rent(_)) => match serde_json::from_slice::<ErrorBody>(body) {
                Ok(body) if body.error == NO_CAPACITY => NoCapacity,
                _ => Unavailable,
            },
            (503, _) => Unavailable,
            (400, _) => Rejected,
            (200, CloudRequest::ListMachineTypes) => {
                serde_json::from_slice(body).map_or(Unknown, Types)
            }
            (200, CloudRequest::Rent(_)) => serde_json::from_slice::<MachineNames>(body)
                .map_or(Unknown, |names| Rented(names.machines)),
            (200, CloudRequest::Delete(_)) => Deleted,
            (200, CloudRequest::ListMachines { .. }) => {
                serde_json::from_slice(body).map_or(Unknown, List)
            }
            _ => Unknown,
        }
    }
}
