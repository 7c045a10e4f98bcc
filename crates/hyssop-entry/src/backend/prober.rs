use super::{Pool, Request};
use crate::core::{Inbox, Message};
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use hyssop_model::instance;
use hyssop_policy::attempt::End;
use hyssop_policy::health::Sample;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Periodically probes the instances that the core selects, and closes expired idle connections.
pub(crate) async fn run_probes(inbox: Inbox, pool: Arc<Pool>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        pool.close_idle();
        let (reply, probe_targets) = flume::bounded(1);
        if inbox.send(Message::ListProbeTargets(reply)).is_err() {
            return;
        }
        let Ok(targets) = probe_targets.recv_async().await else {
            return;
        };
        for (index, (instance, address)) in targets.iter().enumerate() {
            // Spread the probes over the interval to avoid bursts.
            let offset = PROBE_INTERVAL.mul_f64(index as f64 / targets.len() as f64);
            let probe = probe(inbox.clone(), pool.clone(), *instance, *address, offset);
            tokio::spawn(probe);
        }
    }
}

async fn probe(
    inbox: Inbox,
    pool: Arc<Pool>,
    instance: instance::Key,
    address: SocketAddr,
    offset: Duration,
) {
    tokio::time::sleep(offset).await;
    let request = Request {
        id: "probe".to_owned(),
        method: Method::GET,
        path: "/health".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let started = Instant::now();
    let result = pool.send(address, request, PROBE_TIMEOUT).await;
    let sample = match result.end {
        // Any response shows that the instance is reachable, whatever request id it contains.
        End::Mismatched => Some(Sample::Answered(started.elapsed())),
        end => end.sample(started.elapsed()),
    };
    if let Some(sample) = sample {
        // Sending fails only during shutdown, after the core has stopped.
        let _ = inbox.send(Message::Probe { instance, sample });
    }
}
