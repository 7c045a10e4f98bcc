use crate::node::{Node, TrackedWave};
use crate::store::{follow, Scope, Update};
use hyssop_model::work::Configuration;
use hyssop_platform::rows::Row;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Follows the rows written by operators: the configuration and maintenance waves.
pub(super) async fn follow_operators(node: Rc<Node>) {
    let (table, _) = node.dialect.configuration_row();
    let shards = || BTreeSet::from([String::new()]);
    let on_update = |update| {
        match update {
            Update::Snapshot(rows) => rows.iter().for_each(|row| apply_row(&node, row, None)),
            Update::Changes(rows, changed_at_ms) => rows
                .iter()
                .for_each(|row| apply_row(&node, row, changed_at_ms)),
        }
        true
    };
    follow(
        node.store.clone(),
        table,
        Duration::ZERO,
        Scope::Named,
        shards,
        on_update,
    )
    .await;
}

/// Reads the configuration as soon as a peer has a newer version.
pub(super) async fn fetch_on_demand(node: Rc<Node>) {
    let (table, key) = node.dialect.configuration_row();
    loop {
        node.configuration_outdated.notified().await;
        if let Some(page) = node.store.read(table, "").await {
            let rows = page.rows.iter().filter(|row| row.key.key == key);
            rows.for_each(|row| apply_row(&node, row, None));
        }
    }
}

/// Logs the accounts that a new configuration leaves out.
fn log_exclusions(node: &Node, configuration: &Configuration) {
    /// An operator needs one example of each mistake rather than hundreds of lines.
    const MAX_LINES: usize = 10;
    if configuration.version <= node.configuration.borrow().version {
        return;
    }
    let count = configuration.excluded.len();
    for exclusion in configuration.excluded.iter().take(MAX_LINES) {
        // The name may hold any characters, so it is quoted and escaped.
        log::warn!(
            "event=account-left-out account={:?} reason={} version={} left_out={count}",
            exclusion.account,
            exclusion.reason,
            configuration.version
        );
    }
}

/// Applies a row, written at `written_at_ms` on the store's clock if that is known.
fn apply_row(node: &Node, row: &Row, written_at_ms: Option<i64>) {
    const LIST: &str = "operators";
    let (_, key) = node.dialect.configuration_row();
    let (rejections, now) = (&node.metrics.rejections, node.clock.now());
    if row.is_removed {
        if row.key.key == key {
            node.keyring.on_row(row.version, false);
        }
        return;
    }
    if row.key.key == key {
        let read = node.dialect.read_configuration(&row.value);
        node.keyring.on_row(row.version, read.is_some());
        match read {
            Some(configuration) => {
                match configuration.rejected {
                    0 => rejections.accept(LIST, key),
                    count => rejections.reject_parts(LIST, key, &row.value, count, now),
                }
                log_exclusions(node, &configuration);
                node.configure(configuration);
            }
            // The configuration read before stays in force.
            None => rejections.reject(LIST, key, &row.value, now),
        }
    } else if let Some(wave) = node.dialect.read_wave(&row.key.key, &row.value) {
        log::info!(
            "event=wave wave={} instances={} duration_ms={} cap={} written_at_ms={}",
            wave.number,
            wave.instances.len(),
            wave.duration_ms,
            wave.cap,
            written_at_ms.map_or_else(|| "unknown".to_owned(), |at| at.to_string())
        );
        let deadline_ms =
            written_at_ms.map(|written_at| written_at.saturating_add_unsigned(wave.duration_ms));
        let waves = &mut *node.waves.borrow_mut();
        let known = waves.get(&wave.number);
        let tracked = TrackedWave {
            deadline_ms: known.and_then(|known| known.deadline_ms).or(deadline_ms),
            wave,
        };
        waves.insert(tracked.wave.number, tracked);
        rejections.accept(LIST, &row.key.key);
    } else {
        rejections.reject(LIST, &row.key.key, &row.value, now);
    }
}
