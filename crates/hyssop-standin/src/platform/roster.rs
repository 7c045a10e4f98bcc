use hyssop_platform::roster::Listing;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The recent lists of instances, from which a list of a given age is served.
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
        const MAX_LISTS: usize = 600;
        self.lists.push_back((Instant::now(), list));
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Returns the latest list that is at least as old as the lag, or else the oldest one.
    pub(crate) fn lagging(&self) -> Vec<Listing> {
        let now = Instant::now();
        let is_past_lag = |(at, _): &&(Instant, Vec<Listing>)| now.duration_since(*at) >= self.lag;
        let list = self
            .lists
            .iter()
            .rev()
            .find(is_past_lag)
            .or_else(|| self.lists.front());
        list.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
