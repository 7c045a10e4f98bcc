use crate::node::Node;
use crate::store::{follow, Update};
use hyssop_platform::rows::Row;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Follows what operators write: the configuration and maintenance waves.
pub(super) async fn follow_operators(node: Rc<Node>) {
    let (table, _) = node.dialect.configuration_row();
    let parts = || BTreeSet::from([String::new()]);
    let accept = |update| {
        match update {
            Update::Whole(rows) | Update::Changed(rows) => {
                rows.iter().for_each(|row| take(&node, row));
            }
        }
        true
    };
    follow(node.store.clone(), table, Duration::ZERO, parts, accept).await;
}

/// Reads the configuration at once when a peer knows a newer one.
pub(super) async fn fetch_on_demand(node: Rc<Node>) {
    let (table, key) = node.dialect.configuration_row();
    loop {
        node.configuration_wanted.notified().await;
        if let Some(page) = node.store.read(table, "").await {
            let rows = page.rows.iter().filter(|row| row.key.key == key);
            rows.for_each(|row| take(&node, row));
        }
    }
}

fn take(node: &Node, row: &Row) {
    let (_, key) = node.dialect.configuration_row();
    if row.is_removed {
        return;
    }
    if row.key.key == key {
        match node.dialect.read_configuration(&row.value) {
            Some(configuration) => node.configure(configuration),
            None => log::error!("event=configuration-unreadable bytes={}", row.value.len()),
        }
    } else if let Some(wave) = node.dialect.read_wave(&row.key.key, &row.value) {
        log::info!(
            "event=wave wave={} instances={} duration_ms={} cap={}",
            wave.number,
            wave.instances.len(),
            wave.duration_ms,
            wave.cap
        );
        node.waves.borrow_mut().insert(wave.number, wave);
    }
}
