//! Requests to the cloud and what comes of them.
//!
//! [`CloudRequest::encode`] and [`CloudRequest::decode`] are the whole of the cloud's HTTP
//! protocol; the autoscaling part of the leader decides what is requested.

use gladekeel_wire::cloud::{
    MAX_MACHINES_PER_PAGE, MachineNames, MachinePage, MachineTypes, RentRequest,
};
use gladekeel_wire::{http::HttpRequest, job::ErrorBody};

/// The error by which the cloud says that a pool has no machines to rent.
const NO_CAPACITY: &str = "no capacity";

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// List the machine types and their prices.
    ListMachineTypes,
    /// Rent machines.
    Rent(RentRequest),
    /// Delete the machines with these names.
    Delete(Vec<String>),
    /// List a page of the machines.
    ListMachines {
        /// The page begins after this machine; `None` for the first page.
        after: Option<String>,
    },
}

/// What came of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudOutcome {
    /// The machine types.
    Types(MachineTypes),
    /// Machines with these names were rented; there may be fewer than requested.
    Rented(Vec<String>),
    /// The pool has no machines to rent; nothing was done.
    NoCapacity,
    /// The machines are deleted.
    Deleted,
    /// A page of the list.
    List(MachinePage),
    /// The rate limit is exceeded; nothing was done.
    RateLimited,
    /// The cloud refused the request, or it was never sent; nothing was done.
    Unavailable,
    /// The cloud calls the request malformed; nothing was done.
    Rejected,
    /// No response that can be read: it may have been carried out, or may be later.
    Unknown,
}

impl CloudRequest {
    /// The request in the cloud's protocol.
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

    /// What came of the request, by the status and body of its response.
    pub fn decode(&self, status: u16, body: &[u8]) -> CloudOutcome {
        use CloudOutcome::{
            Deleted, List, NoCapacity, RateLimited, Rejected, Rented, Types, Unavailable, Unknown,
        };
        match (status, self) {
            (429, _) => RateLimited,
            (503, CloudRequest::Rent(_)) => match serde_json::from_slice::<ErrorBody>(body) {
                Ok(refusal) if refusal.error == NO_CAPACITY => NoCapacity,
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
