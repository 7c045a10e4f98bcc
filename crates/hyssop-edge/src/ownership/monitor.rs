use super::takeover;
use crate::node::Node;
use hyssop_policy::failover::{self, Candidate};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The interval between checks of the shards' owners.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// All processes start within a third of a second; a longer delay lets each of them register before
/// shards are taken over, which spreads the shards.
const STARTUP_DELAY: Duration = Duration::from_millis(600);
/// An owner without a heartbeat for this long counts as lost; nearly three heartbeat intervals.
const OWNER_TIMEOUT: Duration = Duration::from_millis(700);
/// An owner that can't reach the store for this long, while this process can, is replaced.
const STORE_OUTAGE_LIMIT: Duration = Duration::from_millis(1_000);
/// The additional pause for each candidate with a higher rank, which gets the first attempt.
const RANK_PAUSE: Duration = Duration::from_millis(250);
/// The additional pause of a process without contact to any peer, which may itself be partitioned
/// from the network.
const ISOLATION_PAUSE: Duration = Duration::from_secs(3);

/// Takes over shards whose owners are lost.
pub(crate) async fn monitor_shards(node: Rc<Node>) {
    tokio::time::sleep(STARTUP_DELAY).await;
    let mut vacant_since: BTreeMap<String, Duration> = BTreeMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if node.is_stopping.get() {
            return;
        }
        let now = node.clock.now();
        let vacant: Vec<String> = node
            .shards()
            .into_iter()
            .filter(|shard| is_vacant(&node, shard, now))
            .collect();
        vacant_since.retain(|shard, _| vacant.contains(shard));
        for shard in &vacant {
            vacant_since.entry(shard.clone()).or_insert(now);
        }
        if vacant.is_empty() {
            continue;
        }
        let rankings = failover::rank(&vacant, &candidates(&node, &vacant));
        for shard in vacant {
            let Some(rank) = rankings[&shard].iter().position(|name| *name == node.name) else {
                continue;
            };
            let mut pause = RANK_PAUSE * rank as u32;
            if is_isolated(&node, now) {
                pause += ISOLATION_PAUSE;
            }
            if now.saturating_sub(vacant_since[&shard]) >= pause {
                takeover::acquire(&node, &shard).await;
                vacant_since.remove(&shard);
            }
        }
    }
}

/// Returns whether a shard has no live owner with access to the store.
fn is_vacant(node: &Node, shard: &str, now: Duration) -> bool {
    let owners = node.owners.borrow();
    let Some(owner) = owners.get(shard) else {
        return true;
    };
    if owner.is_released {
        return true;
    }
    if owner.node == node.name {
        return owner.process != node.process;
    }
    let members = node.members.borrow();
    let Some(member) = members.get(&owner.node) else {
        return true;
    };
    if member.process != owner.process {
        return true;
    }
    let links = node.links.borrow();
    let Some(link) = links.get(&owner.node) else {
        return false;
    };
    if now.saturating_sub(link.last_seen_at.get()) >= OWNER_TIMEOUT {
        return true;
    }
    let failed = Duration::from_millis(link.status.borrow().store_failed_ms);
    failed >= STORE_OUTAGE_LIMIT && node.store.failed_since().is_none()
}

/// Returns the members eligible to take over, with the number of shards that each owns.
fn candidates(node: &Node, vacant: &[String]) -> Vec<Candidate> {
    let owners = node.owners.borrow();
    let owned = |name: &str| {
        owners
            .iter()
            .filter(|(shard, owner)| owner.node == name && !vacant.contains(shard))
            .count()
    };
    node.members
        .borrow()
        .values()
        .filter(|member| !member.is_leaving)
        .map(|member| Candidate {
            name: member.node.clone(),
            owned: owned(&member.node),
            share: member.share,
        })
        .collect()
}

/// Returns whether every peer has timed out.
fn is_isolated(node: &Node, now: Duration) -> bool {
    let links = node.links.borrow();
    !links.is_empty()
        && links
            .values()
            .all(|link| now.saturating_sub(link.last_seen_at.get()) >= OWNER_TIMEOUT)
}
