use hyssop_platform::dialect::Transfer;
use std::collections::BTreeMap;
use std::time::Duration;

/// The largest header of an encoded text or list.
const HEADER_BYTES: usize = 5;

/// The instances that an owner or its predecessors ordered to change lately.
///
/// Orders of two owners to one instance keep the platform's minimum interval. What is left of it
/// passes from owner to owner, so a chain of planned stops waits for it once and not anew at each.
#[derive(Clone, Debug)]
pub struct RecentOrders {
    /// The minimum interval.
    gap: Duration,
    /// When another owner may change each instance again.
    until: BTreeMap<String, Duration>,
}

impl RecentOrders {
    /// Creates an empty list for a minimum interval.
    pub fn new(gap: Duration) -> Self {
        Self {
            gap,
            until: BTreeMap::new(),
        }
    }

    /// Adds an instance of the predecessor's list with what is left of its interval at `now`,
    /// `None` if that is unknown; returns until when the instance is left unchanged.
    pub fn inherit(&mut self, instance: String, left: Option<Duration>, now: Duration) -> Duration {
        let until = now + left.map_or(self.gap, |left| left.min(self.gap));
        self.until.insert(instance, until);
        until
    }

    /// Adds the instances of changes that are ordered at `latest` or earlier, as far as the encoded
    /// names take at most `room` bytes; returns how many changes are added.
    pub fn announce(&mut self, changes: &[Transfer], latest: Duration, room: usize) -> usize {
        let size = |name: &str| HEADER_BYTES + name.len();
        let mut bytes = HEADER_BYTES + self.until.keys().map(|name| size(name)).sum::<usize>();
        for (number, change) in changes.iter().enumerate() {
            let name = change.instance();
            if !self.until.contains_key(name) {
                bytes += size(name);
            }
            if bytes > room {
                return number;
            }
            self.until.insert(name.to_owned(), latest + self.gap);
        }
        changes.len()
    }

    /// Records that the platform has answered an order, which it therefore received before `now`.
    pub fn on_answered(&mut self, instance: &str, now: Duration) {
        if let Some(until) = self.until.get_mut(instance) {
            *until = (*until).min(now + self.gap);
        }
    }

    /// Removes the instances whose interval has ended.
    pub fn expire(&mut self, now: Duration) {
        self.until.retain(|_, until| *until > now);
    }

    /// Returns the instances' names.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.until.keys()
    }

    /// Returns what is left of each instance's interval in milliseconds, for an owner that sends no
    /// order after `now`.
    pub fn left_ms(&self, now: Duration) -> BTreeMap<String, u64> {
        self.until
            .iter()
            .filter(|(_, until)| **until > now)
            .map(|(name, until)| {
                let left = (*until - now).min(self.gap);
                (name.clone(), left.as_micros().div_ceil(1_000) as u64)
            })
            .collect()
    }
}
