use super::Store;
use crate::http::Lane;
use hyssop_platform::rows::{Cursor, Page, Row};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// How long the store may wait for a change before it answers a feed call; short, so that a broken
/// connection is detected soon.
const FEED_WAIT: Duration = Duration::from_millis(1_500);
/// The time beyond the wait after which the answer to a feed call counts as lost.
const FEED_SLACK: Duration = Duration::from_millis(900);
/// The timeout of feed calls while the store is unavailable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause before the retry of a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The number of unreadable answers in a row after which the feed is given up for a snapshot; a
/// single one may have been cut off.
const MAX_UNREADABLE_ANSWERS: u32 = 3;

/// An update of a followed table.
#[derive(Clone, Debug)]
pub(crate) enum Update {
    /// All rows of the followed shards.
    Snapshot(Vec<Row>),
    /// The changed rows, in the order of their changes, and the earliest time on the store's clock,
    /// in milliseconds, at which they were changed.
    Changes(Vec<Row>, Option<i64>),
}

/// The shards that a snapshot of a followed table covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Those that the reader names.
    Named,
    /// Those that the reader names, and all others in which the table has rows.
    All,
}

/// Follows the rows of `table`: reads a snapshot of `shards()` and of what `scope` adds, then each
/// change, until `on_update` returns false.
///
/// While neither the feed nor a snapshot can be decoded, the rows passed last stay valid, and the
/// calls are repeated.
///
/// After changes, the next call is made no earlier than `pause` later, so that changes in quick
/// succession share a call: the platform charges for each call, and each wakes the process.
pub(crate) async fn follow(
    store: Store,
    table: &'static str,
    pause: Duration,
    scope: Scope,
    shards: impl Fn() -> BTreeSet<String>,
    mut on_update: impl FnMut(Update) -> bool,
) {
    let mut position: Option<(Cursor, BTreeSet<String>)> = None;
    let mut unreadable_answers = 0_u32;
    loop {
        let wanted = shards();
        let is_current = position
            .as_ref()
            .is_some_and(|(_, covered)| wanted.is_subset(covered));
        if !is_current {
            let sent_at = store.clock.now();
            match read_snapshot(&store, table, scope, wanted).await {
                Some((cursor, rows, covered)) => {
                    position = Some((cursor, covered));
                    if !on_update(Update::Snapshot(rows)) {
                        return;
                    }
                    store.record_followed(table, &Page::default(), sent_at);
                }
                None => tokio::time::sleep(RETRY_PAUSE).await,
            }
            continue;
        }
        let Some((cursor, _)) = &mut position else {
            continue;
        };
        // During an outage, short calls detect the store's recovery soon; a call that waits for
        // changes would hang beyond it.
        // So does a call after a freeze, which shows at once what happened meanwhile.
        let is_behind = store.followed_at(table).is_none_or(|followed_at| {
            store.clock.now().saturating_sub(followed_at) > FEED_WAIT + FEED_SLACK
        });
        let (wait, timeout) = if is_behind || store.failed_since().is_some() {
            (Duration::ZERO, PROBE_TIMEOUT)
        } else {
            (FEED_WAIT, FEED_WAIT + FEED_SLACK)
        };
        let wait_ms = wait.as_millis() as u64;
        let call = store.dialect.feed(table, cursor.version(), wait_ms);
        let sent_at = store.clock.now();
        let reply = store
            .client
            .call(store.address, Lane::Feed, call, timeout)
            .await
            .ok();
        let is_history_lost = |reply| store.dialect.is_history_lost(reply);
        if reply.as_ref().is_some_and(is_history_lost) {
            let version = cursor.version();
            log::info!("event=history-lost table={table} version={version}");
            position = None;
            continue;
        }
        let is_answered = reply.as_ref().is_some_and(Store::is_answered);
        let Some(page) = reply.and_then(|reply| store.dialect.read_page(&reply)) else {
            cursor.on_failure();
            if is_answered {
                unreadable_answers += 1;
                if unreadable_answers == MAX_UNREADABLE_ANSWERS {
                    // The list was read up to here. A snapshot passes the changes that follow.
                    log::warn!(
                        "event=list-unreadable table={table} version={}",
                        cursor.version()
                    );
                }
                if unreadable_answers >= MAX_UNREADABLE_ANSWERS {
                    position = None;
                }
            } else {
                store.record_result(false);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        if unreadable_answers >= MAX_UNREADABLE_ANSWERS {
            log::info!("event=list-readable table={table} answers={unreadable_answers}");
        }
        unreadable_answers = 0;
        store.record_result(true);
        store.record_time(&page, sent_at);
        store.record_rejected(table, &page);
        let changed_at_ms = cursor.advance(&page);
        let has_changed = !page.rows.is_empty();
        let (rows, page) = (
            page.rows,
            Page {
                rows: Vec::new(),
                ..page
            },
        );
        if !on_update(Update::Changes(rows, changed_at_ms)) {
            return;
        }
        store.record_followed(table, &page, sent_at);
        if has_changed && !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Reads all rows of the shards and of what `scope` adds, with the position of the earliest read, from
/// which the feed continues, and the shards that were read.
async fn read_snapshot(
    store: &Store,
    table: &str,
    scope: Scope,
    mut shards: BTreeSet<String>,
) -> Option<(Cursor, Vec<Row>, BTreeSet<String>)> {
    let mut cursor = None;
    let mut rows = Vec::new();
    let mut unread: VecDeque<String> = shards.iter().cloned().collect();
    let mut is_listed = scope == Scope::Named;
    while let Some(shard) = unread.pop_front() {
        let page = store.read(table, &shard).await?;
        cursor.get_or_insert(Cursor::new(page.version, page.now_ms));
        rows.extend(page.rows.into_iter().map(|mut row| {
            shard.clone_into(&mut row.key.shard);
            row
        }));
        // The feed passes the shards that are added after the first read.
        if !std::mem::replace(&mut is_listed, true) {
            let listed = store.shards(table).await?;
            unread.extend(listed.difference(&shards).cloned());
            shards.extend(listed);
        }
    }
    Some((cursor?, rows, shards))
}
