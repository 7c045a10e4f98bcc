use super::{BASE_KEY, PROGRESS_PREFIX, RECENT_KEY, TABLE};
use crate::node::{Node, FLEET};
use crate::store::decode_row;
use hyssop_policy::fleet::Progress;
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
    /// Instances that may have been ordered to change within the gap between two owners, `None` if
    /// the row is malformed, so that any may have been.
    pub(super) recent: Option<BTreeSet<String>>,
}

/// Reads the state stored by the previous owner as of `version` or later, retrying until the store
/// answers; returns `None` if the process stops.
pub(super) async fn read(node: &Rc<Node>, version: u64) -> Option<StoredState> {
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
        recent: Some(BTreeSet::new()),
    };
    for row in page.rows {
        if row.key.key == BASE_KEY {
            // The sizes are taken from the platform's list then.
            stored.base = decode_row(FLEET, &row).unwrap_or_default();
        } else if row.key.key == RECENT_KEY {
            stored.recent = decode_row(FLEET, &row);
        } else if let Some(number) = row.key.key.strip_prefix(PROGRESS_PREFIX) {
            // The wave starts anew then; the platform accepts an order that was carried out before.
            if let (Ok(number), Some(wave)) = (number.parse(), decode_row(FLEET, &row)) {
                stored.waves.insert(number, wave);
            }
        }
    }
    Some(stored)
}
