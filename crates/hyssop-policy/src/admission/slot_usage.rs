use hyssop_model::prelude::*;

/// Slots that the flows of a pool use at this entry, and their limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlotUsage {
    /// The number of requests in progress by flow.
    pub in_flight: BTreeMap<flow::Key, u32>,
    /// The fair share of each flow at this entry, in slots.
    pub fair_shares: BTreeMap<flow::Key, f64>,
    /// The number of deferrable requests in progress.
    pub deferrable: u32,
    /// The most deferrable requests that may be in progress.
    pub deferrable_cap: u32,
}

impl SlotUsage {
    /// Returns the slots that a flow uses, relative to its fair share.
    pub fn utilization(&self, flow: flow::Key) -> f64 {
        const MIN_FAIR_SHARE: f64 = 0.1;
        let in_flight = self.in_flight.get(&flow).copied().unwrap_or(0);
        let fair_share = self
            .fair_shares
            .get(&flow)
            .copied()
            .unwrap_or(1.0)
            .max(MIN_FAIR_SHARE);
        f64::from(in_flight) / fair_share
    }
}
