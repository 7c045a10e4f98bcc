use crate::node::Node;
use crate::store::{decode_row, follow, Scope, Update};
use hyssop_platform::rows::Row;
use hyssop_policy::owner::Scheduler;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Changes within this time after others share a call: after a common start all pools store the
/// addresses of their first jobs.
const FEED_PAUSE: Duration = Duration::from_millis(40);

/// Follows the addresses at which the pools have accepted jobs.
pub(super) async fn follow_addresses(node: Rc<Node>) {
    // The shard without a name has none: the table tells the pools.
    let shards = || BTreeSet::from([String::new()]);
    let on_update = |update| {
        match update {
            Update::Snapshot(rows) => {
                node.directory.borrow_mut().clear();
                rows.iter().for_each(|row| apply_row(&node, row));
            }
            Update::Changes(rows, _) => rows.iter().for_each(|row| apply_row(&node, row)),
        }
        true
    };
    let table = Scheduler::addresses_table();
    let store = node.store.clone();
    follow(store, table, FEED_PAUSE, Scope::All, shards, on_update).await;
}

fn apply_row(node: &Node, row: &Row) {
    let pool = &row.key.shard;
    let entry = if row.is_removed {
        None
    } else {
        decode_row(pool, row)
    };
    node.directory.borrow_mut().apply(pool, &row.key.key, entry);
}
