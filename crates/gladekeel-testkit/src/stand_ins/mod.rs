//! Fakes of everything that a controller communicates with: store, cloud and workers. They
//! behave as the protocol defines and do not depend on the simulation that connects them.

pub mod cloud;
pub mod gang;
pub mod resources;
pub mod store;
pub mod worker;
