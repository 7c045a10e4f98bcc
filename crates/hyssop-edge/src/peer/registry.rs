use super::link::{keep_connected, Link};
use crate::node::{Endpoint, Node};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The links of this process, at most one to each node.
#[derive(Default)]
pub(crate) struct Links {
    by_node: RefCell<BTreeMap<String, Rc<Link>>>,
}

impl Links {
    /// Returns the link to a process, and starts to connect if there is none. A link to an earlier
    /// process of the same node is closed. Once open, the link is kept for `keep` without use.
    pub(crate) fn open(&self, node: &Rc<Node>, peer: &Endpoint, keep: Duration) -> Rc<Link> {
        let now = node.clock.now();
        if let Some(link) = self.by_node.borrow().get(&peer.node) {
            if link.peer == *peer {
                link.touch(now, keep);
                return link.clone();
            }
        }
        let (link, queue) = Link::new(peer.clone(), now);
        link.touch(now, keep);
        self.by_node
            .borrow_mut()
            .insert(peer.node.clone(), link.clone());
        tokio::task::spawn_local(keep_connected(node.clone(), link.clone(), queue));
        link
    }

    /// Returns whether no other link has replaced this one.
    pub(super) fn is_current(&self, link: &Rc<Link>) -> bool {
        self.by_node
            .borrow()
            .get(&link.peer.node)
            .is_some_and(|current| Rc::ptr_eq(current, link))
    }

    /// Removes a link unless another one has replaced it.
    pub(super) fn remove(&self, link: &Rc<Link>) {
        if self.is_current(link) {
            self.by_node.borrow_mut().remove(&link.peer.node);
        }
    }

    /// Returns the number of links.
    pub(crate) fn count(&self) -> usize {
        self.by_node.borrow().len()
    }
}
