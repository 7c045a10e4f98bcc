use super::{BASE_KEY, CAMPAIGN_PREFIX, RECENT_KEY, TABLE};
use crate::node::{Node, FLEET};
use hyssop_policy::fleet::Campaign;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// The state stored by the fleet's previous owner.
#[derive(Default)]
pub(super) struct Stored {
    /// The base size of each pool.
    pub(super) base: BTreeMap<String, usize>,
    /// The progress of waves, by their numbers.
    pub(super) campaigns: BTreeMap<u64, Campaign>,
    /// Instances that may have been ordered to change within the gap between two owners.
    pub(super) recent: BTreeSet<String>,
}

/// Reads the state stored by the previous owner, retrying until the store answers; returns `None`
/// if the process stops.
pub(super) async fn read(node: &Rc<Node>) -> Option<Stored> {
    const PAUSE: Duration = Duration::from_millis(150);
    let page = loop {
        if node.is_stopping.get() {
            return None;
        }
        match node.store.read(TABLE, FLEET).await {
            Some(page) => break page,
            None => tokio::time::sleep(PAUSE).await,
        }
    };
    let mut stored = Stored::default();
    for row in page.rows {
        if row.key.key == BASE_KEY {
            stored.base = ciborium::from_reader(row.value.as_slice()).unwrap_or_default();
        } else if row.key.key == RECENT_KEY {
            stored.recent = ciborium::from_reader(row.value.as_slice()).unwrap_or_default();
        } else if let Some(number) = row.key.key.strip_prefix(CAMPAIGN_PREFIX) {
            let campaign = ciborium::from_reader(row.value.as_slice());
            if let (Ok(number), Ok(campaign)) = (number.parse(), campaign) {
                stored.campaigns.insert(number, campaign);
            }
        }
    }
    Some(stored)
}
