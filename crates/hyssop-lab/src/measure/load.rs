use crate::error::{Error, SystemSnafu};
use hyssop_load::{run, Balancer, Record, Stream};
use snafu::ResultExt;
use std::thread::JoinHandle;
use std::time::Duration;

/// Load that is generated in the background while a measurement runs.
pub(super) struct Load {
    thread: JoinHandle<Vec<Record>>,
}

impl Load {
    /// Starts sending requests for `duration`.
    pub(super) fn start(
        streams: &[Stream],
        balancer: &Balancer,
        duration: Duration,
        seed: u64,
    ) -> Result<Self, Error> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .context(SystemSnafu)?;
        let (streams, balancer) = (streams.to_vec(), balancer.clone());
        let thread =
            std::thread::spawn(move || runtime.block_on(run(&streams, &balancer, duration, seed)));
        Ok(Self { thread })
    }

    /// Waits for the last request and returns the record of every request.
    pub(super) fn finish(self) -> Vec<Record> {
        self.thread.join().unwrap_or_default()
    }
}
