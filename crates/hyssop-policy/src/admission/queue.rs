use super::{Order, Rank, SlotUsage, WaitingRequest};
use hyssop_model::prelude::*;

/// The waiting requests of one pool.
pub struct Queue {
    order: Box<dyn Order>,
    lanes: BTreeMap<flow::Key, BTreeMap<Rank, WaitingRequest>>,
    positions: BTreeMap<request::Key, (flow::Key, Rank)>,
    deadlines: BTreeSet<(Instant, request::Key)>,
    counts: BTreeMap<flow::Key, [u32; Class::COUNT]>,
    bytes: u64,
    sequence: u64,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(order: Box<dyn Order>) -> Self {
        Self {
            order,
            lanes: BTreeMap::new(),
            positions: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            counts: BTreeMap::new(),
            bytes: 0,
            sequence: 0,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: WaitingRequest) {
        self.sequence += 1;
        let lane = self.order.lane(&waiting);
        let rank = self.order.rank(&waiting, self.sequence);
        self.bytes += waiting.bytes;
        self.positions.insert(waiting.key, (lane, rank));
        self.deadlines.insert((waiting.deadline, waiting.key));
        self.counts.entry(waiting.flow).or_default()[waiting.class.index()] += 1;
        self.lanes.entry(lane).or_default().insert(rank, waiting);
    }

    /// Returns the next request to start, without removing it.
    ///
    /// The first request of the lane that uses the least of its fair share of slots is next. Of two
    /// such lanes, the one whose first request arrived earlier precedes.
    pub fn peek(&self, usage: &SlotUsage) -> Option<&WaitingRequest> {
        let is_capped = self.order.caps_deferrable() && usage.deferrable >= usage.deferrable_cap;
        let heads = self.lanes.iter().filter_map(|(lane, requests)| {
            let (rank, waiting) = requests.first_key_value()?;
            let is_held_back = is_capped && waiting.class == Class::Deferrable;
            (!is_held_back).then_some((usage.utilization(*lane), rank.sequence, waiting))
        });
        let first = heads.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        first.map(|(_, _, waiting)| waiting)
    }

    /// Removes a request.
    pub fn remove(&mut self, key: request::Key) -> Option<WaitingRequest> {
        let (lane, rank) = self.positions.remove(&key)?;
        let requests = self.lanes.get_mut(&lane)?;
        let waiting = requests.remove(&rank)?;
        if requests.is_empty() {
            self.lanes.remove(&lane);
        }
        self.deadlines.remove(&(waiting.deadline, key));
        self.bytes -= waiting.bytes;
        if let Some(count) = self.counts.get_mut(&waiting.flow) {
            count[waiting.class.index()] -= 1;
        }
        Some(waiting)
    }

    /// Removes and returns the requests whose deadline is not after `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<WaitingRequest> {
        let mut expired = Vec::new();
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            expired.extend(self.remove(key));
        }
        expired
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<WaitingRequest> {
        let keys: Vec<request::Key> = self.positions.keys().copied().collect();
        keys.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Returns the number of waiting requests of a flow by class.
    pub fn waiting(&self, flow: flow::Key) -> [u32; Class::COUNT] {
        self.counts.get(&flow).copied().unwrap_or_default()
    }

    /// Returns the number of waiting requests of `flow` whose class is at least as urgent as `class`.
    pub fn ahead(&self, flow: flow::Key, class: Class) -> u32 {
        self.waiting(flow)[..=class.index()].iter().sum()
    }

    /// Returns the earliest arrival time among the first requests of the lanes.
    pub fn oldest(&self) -> Option<Instant> {
        let heads = self
            .lanes
            .values()
            .filter_map(|requests| requests.first_key_value());
        heads.map(|(_, waiting)| waiting.arrived_at).min()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the memory that the waiting requests occupy, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
