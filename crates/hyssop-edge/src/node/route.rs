use crate::peer::Link;
use std::rc::Rc;

/// The route to a shard's owner.
pub(crate) enum Route {
    /// In this process.
    Local,
    /// Over an open link.
    Link(Rc<Link>),
}
