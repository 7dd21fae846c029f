//! The HTTP API as plain data: routes of requests, admission of jobs and replies.
//!
//! This module does not depend on the node. The [`shell`](crate::shell) classifies connections
//! by [`Route`], and the request handlers of the [`node`](crate::node) turn a route into a
//! [`Reply`].

mod admission;
mod reply;
mod route;

pub(crate) use admission::{Admission, check_admission};
pub use reply::Reply;
pub use route::{AdminRoute, AdminRouteError, Route};
