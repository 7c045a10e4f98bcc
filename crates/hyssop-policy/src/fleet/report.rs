use crate::owner::{Demand, Load};
use std::collections::BTreeMap;
use std::time::Duration;

/// A pool's latest demand, with its time of arrival.
#[derive(Clone, Debug)]
pub(super) struct Report {
    /// When the report was received.
    pub(super) at: Duration,
    /// The demand, with its loads moved to `loads`.
    pub(super) demand: Demand,
    /// The workers' loads, by instance.
    pub(super) loads: BTreeMap<String, Load>,
}

impl Report {
    pub(super) fn new(mut demand: Demand, at: Duration) -> Self {
        let loads = std::mem::take(&mut demand.loads)
            .into_iter()
            .map(|load| (load.instance.clone(), load))
            .collect();
        Self { at, demand, loads }
    }
}
