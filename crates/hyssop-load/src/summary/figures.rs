use crate::{Outcome, Record, Stream};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// A summary of the requests of one or several streams.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The stream's name.
    pub name: String,
    /// The number of requests.
    pub requests: u64,
    /// The number of requests by outcome.
    #[serde(rename = "told")]
    pub outcomes: BTreeMap<Outcome, u64>,
    /// The number of requests answered successfully within their deadline.
    pub in_time: u64,
    /// The median latency of answered requests, in microseconds.
    pub p50_us: u64,
    /// The 99th percentile of the latency of answered requests, in microseconds.
    pub p99_us: u64,
    /// The maximum latency of answered requests, in microseconds.
    pub max_us: u64,
    /// The 99th percentile of the send delay, in microseconds.
    pub lag_p99_us: u64,
}

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

impl Summary {
    /// Summarizes the requests in `records`, with `deadline` as the limit for being in time.
    pub fn of<'a>(
        name: &str,
        records: impl Iterator<Item = &'a Record>,
        deadline: Duration,
    ) -> Self {
        let mut summary = Self {
            name: name.to_owned(),
            ..Self::default()
        };
        let mut latencies = histogram();
        let mut lags = histogram();
        for record in records {
            summary.requests += 1;
            *summary.outcomes.entry(record.outcome).or_default() += 1;
            lags.saturating_record(record.lag.as_micros() as u64);
            if matches!(record.outcome, Outcome::Answered | Outcome::Repeated) {
                latencies.saturating_record(record.latency.as_micros() as u64);
                let is_success = record.status < 400;
                summary.in_time += u64::from(is_success && record.latency <= deadline);
            }
        }
        summary.p50_us = latencies.value_at_quantile(0.5);
        summary.p99_us = latencies.value_at_quantile(0.99);
        summary.max_us = latencies.max();
        summary.lag_p99_us = lags.value_at_quantile(0.99);
        summary
    }

    /// Summarizes each stream separately.
    pub fn by_stream(streams: &[Stream], records: &[Record]) -> Vec<Self> {
        let summaries = streams.iter().enumerate().map(|(index, stream)| {
            let requests = records.iter().filter(|record| record.stream == index);
            Self::of(&stream.name, requests, stream.deadline)
        });
        summaries.collect()
    }

    /// Returns the number of requests with the given outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }
}

/// Creates an empty histogram of durations in microseconds.
///
/// # Panics
///
/// Panics if the library rejects the bounds, which are constants that it accepts.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}
