use super::{Order, Rank, View, Waiting};
use hyssop_model::prelude::*;

/// Holds the waiting requests of one pool.
pub struct Queue {
    order: Box<dyn Order>,
    lanes: BTreeMap<flow::Key, BTreeMap<Rank, Waiting>>,
    places: BTreeMap<request::Key, (flow::Key, Rank)>,
    deadlines: BTreeSet<(Instant, request::Key)>,
    counts: BTreeMap<flow::Key, [u32; Class::COUNT]>,
    bytes: u64,
    sequence: u64,
}

impl Queue {
    /// Makes an empty queue.
    pub fn new(order: Box<dyn Order>) -> Self {
        Self {
            order,
            lanes: BTreeMap::new(),
            places: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            counts: BTreeMap::new(),
            bytes: 0,
            sequence: 0,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        self.sequence += 1;
        let lane = self.order.lane(&waiting);
        let rank = self.order.rank(&waiting, self.sequence);
        self.bytes += waiting.bytes;
        self.places.insert(waiting.key, (lane, rank));
        self.deadlines.insert((waiting.deadline, waiting.key));
        self.counts.entry(waiting.flow).or_default()[waiting.class.index()] += 1;
        self.lanes.entry(lane).or_default().insert(rank, waiting);
    }

    /// Returns the request that starts next, without removing it.
    pub fn peek(&self, view: &View) -> Option<&Waiting> {
        let is_capped = self.order.caps_deferrable() && view.deferrable >= view.deferrable_cap;
        let heads = self.lanes.iter().filter_map(|(lane, requests)| {
            let (rank, waiting) = requests.first_key_value()?;
            let is_held_back = is_capped && waiting.class == Class::Deferrable;
            (!is_held_back).then_some((view.fill(*lane), rank.sequence, waiting))
        });
        let first = heads.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        first.map(|(_, _, waiting)| waiting)
    }

    /// Removes a request.
    pub fn remove(&mut self, key: request::Key) -> Option<Waiting> {
        let (lane, rank) = self.places.remove(&key)?;
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

    /// Removes the requests whose deadline is not after `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<Waiting> {
        let mut expired = Vec::new();
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            expired.extend(self.remove(key));
        }
        expired
    }

    /// Removes all requests.
    pub fn drain(&mut self) -> Vec<Waiting> {
        let keys: Vec<request::Key> = self.places.keys().copied().collect();
        keys.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Returns the number of waiting requests of a flow by class.
    pub fn waiting(&self, flow: flow::Key) -> [u32; Class::COUNT] {
        self.counts.get(&flow).copied().unwrap_or_default()
    }

    /// Returns the number of requests of `flow` that start before a new one of `class`.
    pub fn ahead(&self, flow: flow::Key, class: Class) -> u32 {
        self.waiting(flow)[..=class.index()].iter().sum()
    }

    /// Returns when the oldest request arrived.
    pub fn oldest(&self) -> Option<Instant> {
        let heads = self
            .lanes
            .values()
            .filter_map(|requests| requests.first_key_value());
        heads.map(|(_, waiting)| waiting.arrived).min()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the memory that the waiting requests take, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
