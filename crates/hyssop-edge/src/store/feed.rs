use super::Store;
use crate::http::Lane;
use hyssop_platform::rows::Row;
use std::collections::BTreeSet;
use std::time::Duration;

/// A feed waits this long for a change; a channel that has gone silent shows soon after.
const WAIT: Duration = Duration::from_millis(1_500);
/// Added to the wait before a feed's answer counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(900);
/// A question to a store that is away is given up after this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);

/// Tells a follower what changed.
#[derive(Clone, Debug)]
pub(crate) enum Update {
    /// All rows of the followed parts, read anew.
    Whole(Vec<Row>),
    /// Rows that changed, in order.
    Changed(Vec<Row>),
}

/// Follows the rows of `table`: reads `parts()` whole, then each change, until `accept` returns
/// false.
///
/// At least `pause` lies between two calls, so that changes which come in quick succession share
/// one: each call is priced, and each wakes the process.
pub(crate) async fn follow(
    store: Store,
    table: &'static str,
    pause: Duration,
    parts: impl Fn() -> BTreeSet<String>,
    mut accept: impl FnMut(Update) -> bool,
) {
    let mut position: Option<(u64, BTreeSet<String>)> = None;
    loop {
        let wanted = parts();
        let is_current = position
            .as_ref()
            .is_some_and(|(_, read)| wanted.is_subset(read));
        if !is_current {
            match read_whole(&store, table, &wanted).await {
                Some((version, rows)) => {
                    position = Some((version, wanted));
                    if !accept(Update::Whole(rows)) {
                        return;
                    }
                }
                None => tokio::time::sleep(PAUSE).await,
            }
            continue;
        }
        let Some((version, _)) = &mut position else {
            continue;
        };
        // While the store is away, quick questions show its return soon; one that waits would hang
        // beyond it.
        let (wait, timeout) = match store.failed_since() {
            Some(_) => (Duration::ZERO, PROBE_TIMEOUT),
            None => (WAIT, WAIT + ANSWER_SLACK),
        };
        let wait_ms = wait.as_millis() as u64;
        let call = store.dialect.feed(table, *version, wait_ms);
        let reply = store
            .client
            .call(store.address, Lane::Feed, call, timeout)
            .await;
        let Ok(reply) = reply else {
            store.note(false);
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        if store.dialect.is_history_lost(&reply) {
            log::info!("event=history-lost table={table} version={version}");
            position = None;
            continue;
        }
        let Some(page) = store.dialect.read_page(&reply) else {
            store.note(false);
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        store.note(true);
        let newest = page.rows.iter().map(|row| row.version).max();
        *version = (*version).max(newest.unwrap_or(0));
        if page.rows.is_empty() {
            *version = (*version).max(page.version);
        }
        let has_changed = !page.rows.is_empty();
        if !accept(Update::Changed(page.rows)) {
            return;
        }
        if has_changed && !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Reads the parts; the feed goes on from the earliest of their moments.
async fn read_whole(
    store: &Store,
    table: &str,
    parts: &BTreeSet<String>,
) -> Option<(u64, Vec<Row>)> {
    let mut version = None;
    let mut rows = Vec::new();
    for part in parts {
        let page = store.read(table, part).await?;
        version.get_or_insert(page.version);
        rows.extend(page.rows.into_iter().map(|mut row| {
            part.clone_into(&mut row.key.part);
            row
        }));
    }
    Some((version?, rows))
}
