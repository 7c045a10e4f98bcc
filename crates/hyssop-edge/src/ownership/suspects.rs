use super::candidates::{successors, window};
use crate::node::{Node, Ownership, INQUIRY_TIMEOUT};
use crate::peer::{request_from, Answer, Inquiry, Operation};
use hyssop_policy::failover::WATCHER_COUNT;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long an owner is watched after a report, several times the time of a failover.
const WATCH_PERIOD: Duration = Duration::from_secs(3);
/// The interval between two reports of the same owner by one process.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between two searches for the owner of the same shard by one process.
const LOCATE_INTERVAL: Duration = Duration::from_millis(200);
/// How many processes are asked or told at a time.
const WINDOW: usize = 3;

/// Owners reported as unreachable: by others to this process, and by this process to others.
///
/// Only a few candidates watch an owner. Whoever needs an owner and does not reach it reports that
/// to further candidates, so that a failover does not depend on the watchers alone.
#[derive(Default)]
pub(crate) struct Suspects {
    /// Until when the owner of each shard is watched because of a report.
    watched_until: RefCell<BTreeMap<String, Duration>>,
    /// The last report of each shard's owner.
    reports: RefCell<BTreeMap<String, Attempt>>,
    /// The last search for each shard's owner.
    searches: RefCell<BTreeMap<String, Attempt>>,
}

/// The last of several attempts in one term of an owner.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    term: u64,
    made_at: Duration,
    number: usize,
}

impl Suspects {
    /// Records that another process has reported the owner of `shard`.
    pub(crate) fn on_report(&self, shard: &str, now: Duration) {
        self.watched_until
            .borrow_mut()
            .insert(shard.to_owned(), now + WATCH_PERIOD);
    }

    /// Returns whether the owner of `shard` has been reported recently.
    pub(super) fn is_reported(&self, shard: &str, now: Duration) -> bool {
        self.watched_until
            .borrow()
            .get(shard)
            .is_some_and(|until| now < *until)
    }

    /// Returns whether any owner has been reported recently, and forgets older reports.
    pub(super) fn has_reports(&self, now: Duration) -> bool {
        let mut watched_until = self.watched_until.borrow_mut();
        watched_until.retain(|_, until| now < *until);
        !watched_until.is_empty()
    }
}

/// Returns the number of the attempt to make now, or `None` if the last one is too recent.
fn next_attempt(
    attempts: &RefCell<BTreeMap<String, Attempt>>,
    shard: &str,
    term: u64,
    interval: Duration,
    now: Duration,
) -> Option<usize> {
    let mut attempts = attempts.borrow_mut();
    let last = attempts.get(shard).filter(|last| last.term == term);
    if last.is_some_and(|last| now.saturating_sub(last.made_at) < interval) {
        return None;
    }
    let number = last.map_or(0, |last| last.number + 1);
    let attempt = Attempt {
        term,
        made_at: now,
        number,
    };
    attempts.insert(shard.to_owned(), attempt);
    Some(number)
}

/// Reports to further candidates that the owner of `shard` can't be reached or can't reach the
/// store. Those that come after its watchers are told first.
pub(crate) fn report_owner(node: &Rc<Node>, shard: &str) {
    let Some(owner) = node.owners.borrow().get(shard).cloned() else {
        return;
    };
    let now = node.clock.now();
    let attempt = next_attempt(
        &node.suspects.reports,
        shard,
        owner.term,
        REPORT_INTERVAL,
        now,
    );
    let Some(number) = attempt else {
        return;
    };
    let mut order = successors(node, shard);
    let watchers = WATCHER_COUNT.min(order.len());
    order.rotate_left(watchers);
    log::info!(
        "event=owner-reported part={shard} owner={} term={} attempt={number}",
        owner.node,
        owner.term
    );
    for peer in window(node, &order, WINDOW, number) {
        let operation = Operation::Inquire(Inquiry::Suspect {
            part: shard.to_owned(),
            term: owner.term,
        });
        let node = node.clone();
        tokio::task::spawn_local(async move {
            // A lost report is repeated with the next attempt, to other processes.
            let _ = request_from(&node, &peer, operation, INQUIRY_TIMEOUT).await;
        });
    }
}

/// Asks other processes for the owner of `shard`, since the store does not tell this process.
pub(crate) fn locate_owner(node: &Rc<Node>, shard: &str) {
    let now = node.clock.now();
    let known = node.owners.borrow().get(shard).map(|owner| owner.term);
    let term = known.unwrap_or(0);
    let attempt = next_attempt(&node.suspects.searches, shard, term, LOCATE_INTERVAL, now);
    let Some(number) = attempt else {
        return;
    };
    for peer in window(node, &successors(node, shard), WINDOW, number) {
        let operation = Operation::Inquire(Inquiry::Locate {
            part: shard.to_owned(),
        });
        let node = node.clone();
        let shard = shard.to_owned();
        tokio::task::spawn_local(async move {
            let answer = request_from(&node, &peer, operation, INQUIRY_TIMEOUT).await;
            if let Some(Answer::Owner(Some(ownership))) = answer {
                node.record_owner(&shard, ownership);
            }
        });
    }
}

/// Tells the previous owner of a shard, if it can be reached, that its term has ended.
pub(super) fn notify_superseded(
    node: &Rc<Node>,
    shard: &str,
    previous: &Ownership,
    new: Ownership,
) {
    if previous.process == node.process || previous.is_released {
        return;
    }
    let node = node.clone();
    let peer = previous.endpoint();
    let operation = Operation::Inquire(Inquiry::Superseded {
        part: shard.to_owned(),
        ownership: new,
    });
    tokio::task::spawn_local(async move {
        // It also learns it from the store, from its watchers or from the workers' fencing.
        let _ = request_from(&node, &peer, operation, INQUIRY_TIMEOUT).await;
    });
}
