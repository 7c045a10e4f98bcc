use super::link::{keep_connected, Link};
use crate::node::{Endpoint, Node};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The links of this process, at most one to each other process.
///
/// Peers may ask about an earlier process of a node, so there may be links to both for a while.
#[derive(Default)]
pub(crate) struct Links {
    by_peer: RefCell<BTreeMap<Endpoint, Rc<Link>>>,
}

impl Links {
    /// Returns the link to a process, and starts to connect if there is none. Once open, the link is
    /// kept for `keep` without use.
    pub(crate) fn open(&self, node: &Rc<Node>, peer: &Endpoint, keep: Duration) -> Rc<Link> {
        let now = node.clock.now();
        if let Some(link) = self.by_peer.borrow().get(peer) {
            link.touch(now, keep);
            return link.clone();
        }
        let (link, queue) = Link::new(peer.clone(), now);
        link.touch(now, keep);
        self.by_peer.borrow_mut().insert(peer.clone(), link.clone());
        tokio::task::spawn_local(keep_connected(node.clone(), link.clone(), queue));
        link
    }

    /// Removes the link to a process.
    pub(super) fn remove(&self, peer: &Endpoint) {
        self.by_peer.borrow_mut().remove(peer);
    }

    /// Returns the number of links.
    pub(crate) fn count(&self) -> usize {
        self.by_peer.borrow().len()
    }
}
