use hyssop_platform::roster::Listing;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Remembers the list of instances, so that it can be told late.
#[derive(Debug)]
pub(crate) struct History {
    lag: Duration,
    lists: VecDeque<(Instant, Vec<Listing>)>,
}

impl History {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            lists: VecDeque::new(),
        }
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn push(&mut self, list: Vec<Listing>) {
        const KEPT: usize = 600;
        self.lists.push_back((Instant::now(), list));
        if self.lists.len() > KEPT {
            self.lists.pop_front();
        }
    }

    /// Returns the list as it was before the lag, or the oldest one.
    pub(crate) fn lagging(&self) -> Vec<Listing> {
        let now = Instant::now();
        let is_old = |(at, _): &&(Instant, Vec<Listing>)| now.duration_since(*at) >= self.lag;
        let list = self
            .lists
            .iter()
            .rev()
            .find(is_old)
            .or_else(|| self.lists.front());
        list.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
