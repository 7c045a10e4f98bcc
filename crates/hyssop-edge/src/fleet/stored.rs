use super::{BASE_KEY, PROGRESS_PREFIX, RECENT_KEY, TABLE};
use crate::node::{Node, FLEET};
use hyssop_policy::fleet::Progress;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// The state stored by the fleet's previous owner.
#[derive(Default)]
pub(super) struct StoredState {
    /// The base size of each pool.
    pub(super) base: BTreeMap<String, usize>,
    /// The progress of waves, by their numbers.
    pub(super) progress: BTreeMap<u64, Progress>,
    /// Instances that may have been ordered to change within the gap between two owners.
    pub(super) recent: BTreeSet<String>,
}

/// Reads the state stored by the previous owner, retrying until the store answers; returns `None`
/// if the process stops.
pub(super) async fn read(node: &Rc<Node>) -> Option<StoredState> {
    const RETRY_PAUSE: Duration = Duration::from_millis(150);
    let page = loop {
        if node.is_stopping.get() {
            return None;
        }
        match node.store.read(TABLE, FLEET).await {
            Some(page) => break page,
            None => tokio::time::sleep(RETRY_PAUSE).await,
        }
    };
    let mut stored = StoredState::default();
    for row in page.rows {
        if row.key.key == BASE_KEY {
            stored.base = ciborium::from_reader(row.value.as_slice()).unwrap_or_default();
        } else if row.key.key == RECENT_KEY {
            stored.recent = ciborium::from_reader(row.value.as_slice()).unwrap_or_default();
        } else if let Some(number) = row.key.key.strip_prefix(PROGRESS_PREFIX) {
            let wave_progress = ciborium::from_reader(row.value.as_slice());
            if let (Ok(number), Ok(wave_progress)) = (number.parse(), wave_progress) {
                stored.progress.insert(number, wave_progress);
            }
        }
    }
    Some(stored)
}
