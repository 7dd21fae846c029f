//! The HTTP interface as plain data: what a request asks for and what a reply looks like.
//!
//! Nothing here knows the node. The [`shell`](crate::shell) classifies connections by
//! [`Route`], and the request handlers of the [`node`](crate::node) turn a route into a
//! [`Reply`].

mod admission;
mod reply;
mod route;

pub(crate) use admission::{Admission, check_admission};
pub use reply::Reply;
pub use route::{AdminRoute, AdminRouteError, Route};
