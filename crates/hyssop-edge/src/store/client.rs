use crate::http::{Client, Failure, Lane};
use crate::metric::Rejections;
use crate::node::Clock;
use hyssop_platform::dialect::{Dialect, Reply};
use hyssop_platform::rows::{Commit, Offset, Page, Range, Row, Transaction};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Long enough for a store that answers sixty times slower than usual.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A client of the store that tracks whether the store is available.
#[derive(Clone)]
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) client: Client,
    pub(crate) clock: Clock,
    rejections: Rejections,
    health: Rc<Health>,
}

/// The availability of the store, shared by all clones of the client.
#[derive(Default)]
struct Health {
    failed_since: Cell<Option<Duration>>,
    /// The store's clock less this process's, in milliseconds, once the store has told its time.
    clock_offset_ms: Cell<Option<i64>>,
    /// The most that the store's clock may be ahead of this process's.
    offset: Cell<Offset>,
    /// The latest time as of which all changes of a followed table are known, by table.
    followed_at: RefCell<BTreeMap<&'static str, Duration>>,
    /// Notified when a call succeeds after others have failed.
    recovered: Notify,
}

impl Store {
    pub(crate) fn new(
        address: SocketAddr,
        dialect: Rc<dyn Dialect>,
        client: Client,
        clock: Clock,
        rejections: Rejections,
    ) -> Self {
        Self {
            address,
            dialect,
            client,
            clock,
            rejections,
            health: Rc::default(),
        }
    }

    /// Returns the latest time as of which all changes of a followed table are known to this
    /// process, `None` if it has not been read.
    pub(crate) fn followed_at(&self, table: &str) -> Option<Duration> {
        self.health.followed_at.borrow().get(table).copied()
    }

    /// Records that all changes of `table` are known up to the time told in an answer, or up to
    /// `sent_at`, when the call was sent, if the answer tells none.
    ///
    /// What is followed must never look more recent than it is, since owners and keys are trusted by
    /// it: an answer may be read long after it was sent, if the process was frozen in between, so the
    /// told time counts, and [`Offset`] maps it to the earliest time that it may have been.
    pub(super) fn record_followed(&self, table: &'static str, page: &Page, sent_at: Duration) {
        let offset = self.health.offset.get();
        let answered_at = page.now_ms.and_then(|now_ms| offset.earliest(now_ms));
        // The clocks' offset is known to a few milliseconds only.
        let at = answered_at.map_or(sent_at, |at| at.clamp(sent_at, self.clock.now()));
        let mut followed_at = self.health.followed_at.borrow_mut();
        let known = followed_at.entry(table).or_insert(at);
        *known = (*known).max(at);
    }

    /// Returns a time on the store's clock, in milliseconds, as one on this process's clock, or
    /// `None` if the store has not told its time yet.
    pub(crate) fn local_time(&self, store_ms: i64) -> Option<Duration> {
        let offset = self.health.clock_offset_ms.get()?;
        let local_ms = store_ms.saturating_sub(offset);
        Some(Duration::from_millis(local_ms.max(0) as u64))
    }

    /// Records the time that the store told in an answer to a call sent at `sent_at`. An answer arrives
    /// later than that, so the largest offset is the closest.
    pub(super) fn record_time(&self, page: &Page, sent_at: Duration) {
        if let Some(now_ms) = page.now_ms {
            let mut bound = self.health.offset.get();
            bound.observe(now_ms, sent_at, self.clock.now());
            self.health.offset.set(bound);
            let offset = now_ms.saturating_sub(self.clock.now().as_millis() as i64);
            let known = self.health.clock_offset_ms.get();
            let largest = known.map_or(offset, |known| known.max(offset));
            self.health.clock_offset_ms.set(Some(largest));
        }
    }

    /// Counts and logs the rows of `table` that could not be decoded in an answer.
    pub(super) fn record_rejected(&self, table: &str, page: &Page) {
        const LIST: &str = "rows";
        let count = page.rejected;
        if count == 0 {
            return;
        }
        let version = page.version.to_le_bytes();
        let now = self.clock.now();
        self.rejections
            .reject_parts(LIST, table, &version, count, now);
    }

    /// Waits until a call succeeds after others have failed.
    pub(crate) async fn recovered(&self) {
        self.health.recovered.notified().await;
    }

    /// Returns when the first of the current failures occurred, `None` if the last call succeeded.
    pub(crate) fn failed_since(&self) -> Option<Duration> {
        self.health.failed_since.get()
    }

    /// Records whether a call succeeded and logs a change of the store's availability.
    pub(super) fn record_result(&self, is_ok: bool) {
        let now = self.clock.now();
        if is_ok {
            if let Some(since) = self.health.failed_since.take() {
                let elapsed = now.saturating_sub(since).as_millis();
                log::info!("event=dependency-regained dependency=store after_ms={elapsed}");
                self.health.recovered.notify_waiters();
            }
        } else if self.health.failed_since.get().is_none() {
            self.health.failed_since.set(Some(now));
            log::warn!("event=dependency-lost dependency=store");
        }
    }

    /// Returns whether the store has answered a read, readable or not.
    pub(super) fn is_answered(reply: &Reply) -> bool {
        /// The status of a page.
        const STATUS_OK: u16 = 200;
        reply.status == STATUS_OK
    }

    /// Sends a transaction once, without a retry; without an answer its outcome stays unknown.
    pub(crate) async fn commit(&self, transaction: &Transaction) -> Result<Commit, Failure> {
        let call = self.dialect.commit(transaction);
        let answer = self
            .client
            .call(self.address, Lane::Plain, call, CALL_TIMEOUT)
            .await
            .map(|reply| self.dialect.read_commit(&reply));
        let is_ok = matches!(answer, Ok(Commit::Done(_) | Commit::Conflict(_)));
        self.record_result(is_ok);
        answer
    }

    /// Reads the names of all shards in which a table has rows; returns `None` if the store does not
    /// answer.
    pub(crate) async fn shards(&self, table: &str) -> Option<BTreeSet<String>> {
        let mut all = BTreeSet::new();
        loop {
            let after = all.last().map(String::as_str);
            let call = self.dialect.shards(table, after);
            let reply = self
                .client
                .call(self.address, Lane::Plain, call, CALL_TIMEOUT)
                .await
                .ok();
            let is_answered = reply.as_ref().is_some_and(Self::is_answered);
            let page = reply.and_then(|reply| self.dialect.read_shards(&reply));
            // An unreadable answer tells nothing about whether the store is available.
            if page.is_some() || !is_answered {
                self.record_result(page.is_some());
            } else {
                log::warn!("event=shards-unreadable table={table}");
            }
            let page = page?;
            if page.rejected > 0 {
                log::warn!(
                    "event=shards-rejected table={table} count={}",
                    page.rejected
                );
            }
            let known = all.len();
            all.extend(page.shards);
            if !page.has_more || all.len() == known {
                return Some(all);
            }
        }
    }

    /// Reads all rows of a shard; returns `None` if the store does not answer.
    pub(crate) async fn read(&self, table: &str, shard: &str) -> Option<Page> {
        let mut all = Page::default();
        let mut from = String::new();
        loop {
            let (page, next) = self.read_page(table, shard, &from).await?;
            if all.version == 0 {
                all.version = page.version;
                all.now_ms = page.now_ms;
            }
            all.rows.extend(page.rows);
            match next {
                Some(next) => from = next,
                None => return Some(all),
            }
        }
    }

    /// Reads the rows of a shard from a key on, as many as the store returns at once, and returns them
    /// with the key of the next page if there are more; returns `None` if the store does not answer.
    pub(crate) async fn read_page(
        &self,
        table: &str,
        shard: &str,
        from: &str,
    ) -> Option<(Page, Option<String>)> {
        let range = Range {
            table: table.to_owned(),
            shard: shard.to_owned(),
            from: from.to_owned(),
        };
        let call = self.dialect.get(&range);
        let sent_at = self.clock.now();
        let reply = self
            .client
            .call(self.address, Lane::Plain, call, CALL_TIMEOUT)
            .await;
        let reply = reply.ok();
        let is_answered = reply.as_ref().is_some_and(Self::is_answered);
        let page = reply.and_then(|reply| self.dialect.read_page(&reply));
        // An unreadable answer tells nothing about whether the store is available.
        if page.is_some() || !is_answered {
            self.record_result(page.is_some());
        }
        let page = page?;
        self.record_time(&page, sent_at);
        self.record_rejected(table, &page);
        let last = page.rows.last().filter(|_| page.has_more);
        // The next page starts right after the last key.
        let next = last.map(|row: &Row| format!("{}\0", row.key.key));
        Some((page, next))
    }
}
