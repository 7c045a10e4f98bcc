//! The border for callers that are not trusted: every connection that a listener accepts has a permit,
//! and every byte that a request holds is covered by one. `hyssop_policy::intake` decides.

mod body;
mod guard;
mod hold;
mod permit;
mod socket;

pub(crate) use body::{Body, Inbound};
pub(crate) use guard::{sweep, Guard};
pub(crate) use hold::Hold;
pub(crate) use permit::Permit;
pub(crate) use socket::Socket;
