use crate::node::Node;
use crate::store::Committer;
use std::rc::Rc;

/// Moves and maintains instances during one term.
pub(crate) struct Holder;

impl Holder {
    /// Starts the holder's work.
    pub(crate) fn start(_node: Rc<Node>, _term: u64, _committer: Committer) {}
}
