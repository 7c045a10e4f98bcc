use crate::peer::Link;
use std::rc::Rc;

/// The route to a shard's owner.
pub(crate) enum Reach {
    /// In this process.
    Here,
    /// Over an open link.
    Link(Rc<Link>),
}
