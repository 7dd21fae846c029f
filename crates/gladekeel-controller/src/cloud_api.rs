//! Requests to the cloud and what comes of them.

use gladekeel_wire::cloud::{
    MAX_MACHINES_PER_PAGE, MachineNames, MachinePage, MachineTypes, RentRequest,
};
use gladekeel_wire::job::ErrorBody;

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Read the machine types and their prices.
    ListMachineTypes,
    /// Rent machines.
    Rent(RentRequest),
    /// Delete machines.
    Delete(Vec<String>),
    /// Read a page of the machine list.
    ListMachines {
        /// Begin after this machine.
        after: Option<String>,
    },
}

/// What came of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudOutcome {
    /// The machine types.
    Types(MachineTypes),
    /// Machines were rented.
    Rented(Vec<String>),
    /// There are none to rent.
    NoCapacity,
    /// The machines are gone.
    Deleted,
    /// A page of the list.
    List(MachinePage),
    /// Over the budget; nothing was done.
    RateLimited,
    /// The cloud refused; nothing was done.
    Unavailable,
    /// The cloud finds the request malformed; nothing was done.
    Rejected,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

impl CloudRequest {
    /// Method, target and body of the request.
    pub fn encode(&self) -> (&'static str, String, Vec<u8>) {
        let json = |value: serde_json::Result<Vec<u8>>| value.expect("wire types always serialise");
        match self {
            CloudRequest::ListMachineTypes => ("GET", "/flavors".into(), Vec::new()),
            CloudRequest::Rent(rent) => {
                ("POST", "/machines".into(), json(serde_json::to_vec(rent)))
            }
            CloudRequest::Delete(names) => {
                let body = MachineNames { machines: names.clone() };
                ("POST", "/machines/delete".into(), json(serde_json::to_vec(&body)))
            }
            CloudRequest::ListMachines { after } => {
                let since = after.as_ref().map(|a| format!("since={a}&")).unwrap_or_default();
                ("GET", format!("/machines?{since}limit={MAX_MACHINES_PER_PAGE}"), Vec::new())
            }
        }
    }

    /// Reads the answer.
    pub fn decode(&self, status: u16, body: &[u8]) -> CloudOutcome {
        use CloudOutcome::*;
        match (status, self) {
            (429, _) => RateLimited,
            (503, CloudRequest::Rent(_)) => match serde_json::from_slice::<ErrorBody>(body) {
                Ok(e) if e.error == "no capacity" => NoCapacity,
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
