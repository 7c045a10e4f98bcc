use super::caller::Caller;
use crate::client::Pool;
use crate::{Balancer, Record, Stream};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Sends the requests of every stream for `length` and returns their records in the order of the
/// scheduled send times.
pub async fn run(
    streams: &[Stream],
    balancer: &Balancer,
    length: Duration,
    seed: u64,
) -> Vec<Record> {
    let mut due: Vec<(Duration, usize)> = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let arrivals = stream
            .shape
            .arrivals(length, seed.wrapping_add(index as u64));
        due.extend(arrivals.into_iter().map(|at| (at, index)));
    }
    due.sort_unstable();
    let streams: Arc<[Stream]> = streams.to_vec().into();
    let pool = Arc::new(Pool::default());
    let start = Instant::now();
    let mut calls = Vec::with_capacity(due.len());
    for (at, index) in due {
        tokio::time::sleep_until(start + at).await;
        let caller = Caller {
            streams: streams.clone(),
            stream: index,
            pool: pool.clone(),
            balancer: balancer.clone(),
            start,
            due: at,
        };
        calls.push(tokio::spawn(caller.call()));
    }
    let mut records = Vec::with_capacity(calls.len());
    for call in calls {
        if let Ok(record) = call.await {
            records.push(record);
        }
    }
    records
}
