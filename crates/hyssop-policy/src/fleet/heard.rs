use crate::owner::{Demand, Load};
use std::collections::BTreeMap;
use std::time::Duration;

/// Holds what a pool said last.
#[derive(Clone, Debug)]
pub(super) struct Heard {
    pub(super) at: Duration,
    /// Without its loads.
    pub(super) demand: Demand,
    /// What the workers do, by their instances.
    pub(super) loads: BTreeMap<String, Load>,
}

impl Heard {
    pub(super) fn new(mut demand: Demand, at: Duration) -> Self {
        let loads = std::mem::take(&mut demand.loads)
            .into_iter()
            .map(|load| (load.instance.clone(), load))
            .collect();
        Self { at, demand, loads }
    }
}
