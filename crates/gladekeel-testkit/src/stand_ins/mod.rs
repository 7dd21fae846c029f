//! Fakes of everything that a controller talks to. They behave as the protocol says and
//! know nothing of the simulation that connects them.

pub mod cloud;
pub mod gang;
pub mod resources;
pub mod store;
pub mod worker;
