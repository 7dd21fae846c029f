//! What the cloud's list of machines says of one of them.

use gladekeel_wire::cloud::MachineState;

/// Lists in a row without a machine, after which it counts as gone. A list may be older than
/// the one before it, so a single one proves little.
const MAX_MISSING_LISTS: u32 = 2;

/// A machine's entry in the cloud's list.
#[derive(Debug, Default)]
pub struct CloudListing {
    state: Option<MachineState>,
    missing_lists: u32,
}

impl CloudListing {
    /// Records that a list includes the machine.
    pub fn record_listed(&mut self, state: MachineState) {
        self.state = Some(state);
        self.missing_lists = 0;
    }

    /// Records that a list lacks the machine. Returns whether it counts as gone.
    pub fn record_missing(&mut self) -> bool {
        self.missing_lists += 1;
        self.missing_lists >= MAX_MISSING_LISTS
    }

    /// Records that the worker was seen, whatever the lists say.
    pub fn record_seen(&mut self) {
        self.missing_lists = 0;
    }

    /// The state in the newest list that included the machine, if any did.
    pub fn state(&self) -> Option<MachineState> {
        self.state
    }
}
