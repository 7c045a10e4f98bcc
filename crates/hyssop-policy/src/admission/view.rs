use hyssop_model::prelude::*;

/// Is what a queue knows of its flows' slots when it picks the next request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The number of requests in progress by flow.
    pub in_flight: BTreeMap<flow::Key, u32>,
    /// The slots that each flow is due at this entry.
    pub due: BTreeMap<flow::Key, f64>,
    /// The number of deferrable requests in progress.
    pub deferrable: u32,
    /// The most deferrable requests that may be in progress.
    pub deferrable_cap: u32,
}

impl View {
    /// Returns how much of its due a flow has in use.
    pub fn fill(&self, flow: flow::Key) -> f64 {
        const LEAST_DUE: f64 = 0.1;
        let in_flight = self.in_flight.get(&flow).copied().unwrap_or(0);
        let due = self.due.get(&flow).copied().unwrap_or(1.0).max(LEAST_DUE);
        f64::from(in_flight) / due
    }
}
