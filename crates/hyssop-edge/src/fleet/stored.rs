use super::{BASE_KEY, LEFT_KEY, PROGRESS_PREFIX, RECENT_KEY, STOPS_KEY, TABLE};
use crate::node::{Node, FLEET};
use crate::store::decode_row;
use hyssop_platform::rows::{encode, Key};
use hyssop_policy::fleet::{ExpectedStop, Progress};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// The stored state of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WaveRow {
    /// The progress.
    #[serde(flatten)]
    pub(super) progress: Progress,
    /// When the maintenance of all instances must have started, on the store's clock in
    /// milliseconds, if known. Rows of earlier versions have none.
    #[serde(default)]
    pub(super) deadline_ms: Option<i64>,
}

/// The state stored by the fleet's previous owner.
pub(super) struct StoredState {
    /// The base size of each pool.
    pub(super) base: BTreeMap<String, usize>,
    /// The waves, by their numbers.
    pub(super) waves: BTreeMap<u64, WaveRow>,
    /// Instances that may have been ordered to change within the gap between two owners, each with
    /// what is left of the gap if that is known; `None` if the row is malformed, so that any may have
    /// been.
    pub(super) recent: Option<BTreeMap<String, Option<Duration>>>,
    /// The workers that those orders stop, as far as they are known.
    pub(super) stops: Vec<ExpectedStop>,
}

/// The stored row of what is left of the gap between two owners when one has released the shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeftRow {
    /// The term that ended by the release.
    term: u64,
    /// The time left for each instance that was ordered to change, in milliseconds.
    left_ms: BTreeMap<String, u64>,
}

/// Returns the row that tells the next owner what is left of the gap for the instances that `term`
/// has ordered to change, or `None` if this process has not controlled the fleet in that term.
pub(crate) fn left_row(node: &Node, term: u64) -> Option<(Key, Vec<u8>)> {
    let recent = node.recent_orders.borrow();
    let (_, orders) = recent.as_ref().filter(|(known, _)| *known == term)?;
    let left_ms = orders.left_ms(node.clock.now());
    let value = encode(&LeftRow { term, left_ms });
    // Without the row the next owner waits for the whole gap.
    let has_room = value.len() <= node.timing.scheduler.max_row_bytes;
    has_room.then(|| (Key::new(TABLE, FLEET, LEFT_KEY), value))
}

/// Reads the state for `term` that the previous owner stored, as of `version` or later, retrying until
/// the store answers; returns `None` if the process stops.
pub(super) async fn read(node: &Rc<Node>, term: u64, version: u64) -> Option<StoredState> {
    const RETRY_PAUSE: Duration = Duration::from_millis(150);
    let page = loop {
        if node.is_stopping.get() {
            return None;
        }
        match node.store.read(TABLE, FLEET).await {
            Some(page) if page.version >= version => break page,
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    };
    let mut stored = StoredState {
        base: BTreeMap::new(),
        waves: BTreeMap::new(),
        recent: Some(BTreeMap::new()),
        stops: Vec::new(),
    };
    let mut left: Option<LeftRow> = None;
    for row in page.rows {
        if row.key.key == BASE_KEY {
            // The sizes are taken from the platform's list then.
            stored.base = decode_row(FLEET, &row).unwrap_or_default();
        } else if row.key.key == RECENT_KEY {
            let names: Option<BTreeSet<String>> = decode_row(FLEET, &row);
            stored.recent = names.map(|names| names.into_iter().map(|name| (name, None)).collect());
        } else if row.key.key == LEFT_KEY {
            left = decode_row(FLEET, &row);
        } else if row.key.key == STOPS_KEY {
            // The pools' owners wait for the leases of these workers then.
            stored.stops = decode_row(FLEET, &row).unwrap_or_default();
        } else if let Some(number) = row.key.key.strip_prefix(PROGRESS_PREFIX) {
            // The wave starts anew then; the platform accepts an order that was carried out before.
            if let (Ok(number), Some(wave)) = (number.parse(), decode_row(FLEET, &row)) {
                stored.waves.insert(number, wave);
            }
        }
    }
    // Of an earlier term it doesn't cover what was ordered since.
    if let Some(left) = left.filter(|left| left.term.checked_add(1) == Some(term)) {
        let left = left.left_ms.into_iter();
        stored.recent = Some(
            left.map(|(name, ms)| (name, Some(Duration::from_millis(ms))))
                .collect(),
        );
    }
    Some(stored)
}
