use crate::peer::Link;
use std::rc::Rc;

/// Says where a part's owner can be asked.
pub(crate) enum Reach {
    /// In this process.
    Here,
    /// Over an open link.
    Link(Rc<Link>),
}
