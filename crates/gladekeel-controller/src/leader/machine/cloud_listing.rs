//! The state of one machine according to the cloud's lists of machines.

use gladekeel_wire::cloud::MachineState;

/// The number of consecutive lists without a machine after which the machine counts as gone. A list
/// may be older than the list received before it, so a single list proves little.
const MAX_MISSING_LISTS: u32 = 2;

/// A machine's entry in the cloud's lists.
#[derive(Debug, Default)]
pub struct CloudListing {
    state: Option<MachineState>,
    missing_lists: u32,
}

impl CloudListing {
    /// Records that a list from the cloud includes the machine in this state.
    pub fn record_listed(&mut self, state: MachineState) {
        self.state = Some(state);
        self.missing_lists = 0;
    }

    /// Records that a list from the cloud lacks the machine. Returns whether the machine counts as
    /// gone because several consecutive lists lack it.
    pub fn record_missing(&mut self) -> bool {
        self.missing_lists += 1;
        self.missing_lists >= MAX_MISSING_LISTS
    }

    /// Records that the worker was seen, which restarts the count of lists without the machine.
    pub fn record_seen(&mut self) {
        self.missing_lists = 0;
    }

    /// The state in the last received list that included the machine; `None` if no list has
    /// included it.
    pub fn state(&self) -> Option<MachineState> {
        self.state
    }
}
