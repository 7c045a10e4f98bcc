use super::{OWNERS, OWNER_KEY};
use crate::node::{Member, Node, Ownership};
use crate::store::{follow, Update};
use hyssop_platform::rows::{encode, Commit, Key, Row, Transaction};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

const PAUSE: Duration = Duration::from_millis(200);

/// Stores this process's member row, retrying until the store confirms it.
pub(crate) async fn register(node: Rc<Node>, is_leaving: bool) {
    let member = Member {
        node: node.name.clone(),
        process: node.process.clone(),
        address: node.address,
        share: node.share,
        is_leaving,
    };
    node.members
        .borrow_mut()
        .insert(node.name.clone(), member.clone());
    let transaction = Transaction {
        writes: vec![(Key::new(OWNERS, "", &node.name), encode(&member))],
        ..Transaction::default()
    };
    while !matches!(node.store.commit(&transaction).await, Ok(Commit::Done(_))) {
        tokio::time::sleep(PAUSE).await;
    }
}

/// Follows the rows of members and owners.
pub(crate) async fn follow_owners(node: Rc<Node>) {
    let parts = || {
        let mut parts = node.parts();
        parts.insert(String::new());
        parts
    };
    follow(
        node.store.clone(),
        OWNERS,
        Duration::ZERO,
        parts,
        |update| {
            match update {
                Update::Whole(rows) => {
                    let present: BTreeSet<&str> = rows
                        .iter()
                        .filter(|row| row.key.part.is_empty())
                        .map(|row| row.key.key.as_str())
                        .collect();
                    node.members
                        .borrow_mut()
                        .retain(|name, _| *name == node.name || present.contains(name.as_str()));
                    rows.iter().for_each(|row| take(&node, row));
                }
                Update::Changed(rows) => rows.iter().for_each(|row| take(&node, row)),
            }
            true
        },
    )
    .await;
}

/// Applies one row of the table to the node's state.
pub(super) fn take(node: &Node, row: &Row) {
    if row.is_removed {
        if row.key.part.is_empty() && row.key.key != node.name {
            node.members.borrow_mut().remove(&row.key.key);
        }
        return;
    }
    if row.key.part.is_empty() {
        match ciborium::from_reader::<Member, _>(row.value.as_slice()) {
            Ok(member) if member.node != node.name => {
                node.members
                    .borrow_mut()
                    .insert(member.node.clone(), member);
                node.announce();
            }
            Ok(_) => {}
            Err(error) => log::warn!("event=row-unreadable key={} reason={error:?}", row.key.key),
        }
    } else if row.key.key == OWNER_KEY {
        match ciborium::from_reader::<Ownership, _>(row.value.as_slice()) {
            Ok(ownership) => node.put_owner(&row.key.part, ownership),
            Err(error) => log::warn!(
                "event=row-unreadable part={} reason={error:?}",
                row.key.part
            ),
        }
    }
}
