use super::{OWNERS_TABLE, OWNER_KEY};
use crate::node::{Member, Node, Ownership};
use crate::store::{decode_row, follow, Scope, Update};
use hyssop_platform::rows::{encode, Commit, Key, Row, Transaction};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Changes within this time after others share a call: at a common start every process follows the
/// registration of every other.
const FEED_PAUSE: Duration = Duration::from_millis(40);

/// Stores this process's member row, retrying until the store confirms it.
pub(crate) async fn register(node: Rc<Node>, is_leaving: bool) {
    let member = Member {
        node: node.name.clone(),
        process: node.process.clone(),
        address: node.address,
        data_centre: node.data_centre.clone(),
        share: node.share,
        memory_mb: node.memory_mb,
        is_leaving,
        series: node
            .series
            .get()
            .first(node.clock.now())
            .filter(|_| is_leaving),
        version: 0,
    };
    node.members
        .borrow_mut()
        .insert(node.name.clone(), member.clone());
    let transaction = Transaction {
        writes: vec![(Key::new(OWNERS_TABLE, "", &node.name), encode(&member))],
        ..Transaction::default()
    };
    let version = loop {
        match node.store.commit(&transaction).await {
            Ok(Commit::Done(version)) => break version,
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    };
    if let Some(own) = node.members.borrow_mut().get_mut(&node.name) {
        own.version = own.version.max(version);
    }
    node.is_registered.set(true);
}

/// Follows the rows of members and owners.
///
/// The configuration may no longer name a pool that has jobs, so the rows tell which pools need an owner.
pub(crate) async fn follow_owners(node: Rc<Node>) {
    let shards = || {
        let mut shards = node.shards();
        shards.insert(String::new());
        shards
    };
    follow(
        node.store.clone(),
        OWNERS_TABLE,
        FEED_PAUSE,
        Scope::All,
        shards,
        |update| {
            let (Update::Snapshot(rows) | Update::Changes(rows, _)) = &update;
            let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
            node.followed_version
                .set(node.followed_version.get().max(newest));
            match update {
                Update::Snapshot(rows) => {
                    let present: BTreeSet<&str> = rows
                        .iter()
                        .filter(|row| row.key.shard.is_empty())
                        .map(|row| row.key.key.as_str())
                        .collect();
                    node.members
                        .borrow_mut()
                        .retain(|name, _| *name == node.name || present.contains(name.as_str()));
                    node.on_topology_change();
                    rows.iter().for_each(|row| apply_row(&node, row));
                }
                Update::Changes(rows, _) => rows.iter().for_each(|row| apply_row(&node, row)),
            }
            true
        },
    )
    .await;
}

/// Applies one row of the table to the node's state.
pub(super) fn apply_row(node: &Rc<Node>, row: &Row) {
    if row.is_removed {
        if !row.key.shard.is_empty() {
            return;
        }
        if row.key.key == node.name {
            // Another process took this one for lost. Owners don't ask it for a confirmation until it
            // is a member again, so it takes over nothing meanwhile.
            node.is_registered.set(false);
            tokio::task::spawn_local(register(node.clone(), node.is_stopping.get()));
        } else {
            node.members.borrow_mut().remove(&row.key.key);
            node.on_topology_change();
        }
        return;
    }
    if row.key.shard.is_empty() {
        let member = read_member(row);
        if let Some(member) = member.as_ref().filter(|member| member.is_leaving) {
            record_stop(node, member);
        }
        if let Some(member) = member.filter(|member| member.node != node.name) {
            node.members
                .borrow_mut()
                .insert(member.node.clone(), member);
            node.on_topology_change();
        }
    } else if row.key.key == OWNER_KEY {
        if let Some(ownership) = read_ownership(row) {
            node.record_owner(&row.key.shard, ownership);
        }
    }
}

/// Records the planned stop of a member, or of an earlier process of this node.
fn record_stop(node: &Node, member: &Member) {
    let mut series = node.series.get();
    series.on_stop(member.version, member.series, node.clock.now());
    node.series.set(series);
}

/// Reads an owner's row; returns `None` if it is unreadable.
pub(super) fn read_ownership(row: &Row) -> Option<Ownership> {
    let ownership: Ownership = decode_row(&row.key.shard, row)?;
    Some(Ownership {
        version: row.version,
        ..ownership
    })
}

/// Reads a member's row; returns `None` if it is unreadable.
pub(super) fn read_member(row: &Row) -> Option<Member> {
    let member: Member = decode_row(&row.key.shard, row)?;
    Some(Member {
        version: row.version,
        ..member
    })
}
