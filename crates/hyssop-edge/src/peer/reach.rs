use super::{Answer, Operation};
use crate::node::{Endpoint, Node};
use std::rc::Rc;
use std::time::Duration;

/// A frame that arrived this recently shows that its sender is reachable.
const FRESH: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// How long the link of an inquiry is kept for further ones.
const KEEP: Duration = Duration::from_secs(2);

/// Returns whether a process is heard within `timeout`.
pub(crate) async fn reach(node: &Rc<Node>, peer: &Endpoint, timeout: Duration) -> bool {
    let started_at = node.clock.now();
    let link = node.links.open(node, peer, KEEP);
    let is_heard = || link.is_open() && link.last_seen_at() >= started_at.saturating_sub(FRESH);
    if link.is_open() && !is_heard() {
        link.ping();
    }
    wait_for(node, timeout, is_heard).await
}

/// Waits until `condition` is met; returns whether that was within `timeout`.
async fn wait_for(node: &Node, timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let started_at = node.clock.now();
    while !condition() {
        if node.clock.now().saturating_sub(started_at) >= timeout {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}

/// Requests an operation from a process to which there may be no link yet; returns `None` if it is
/// not answered within `timeout`.
pub(crate) async fn request_from(
    node: &Rc<Node>,
    peer: &Endpoint,
    operation: Operation,
    timeout: Duration,
) -> Option<Answer> {
    let started_at = node.clock.now();
    let link = node.links.open(node, peer, KEEP);
    if !wait_for(node, timeout, || link.is_open()).await {
        return None;
    }
    let elapsed = node.clock.now().saturating_sub(started_at);
    link.request(operation, timeout.saturating_sub(elapsed))
        .await
}
