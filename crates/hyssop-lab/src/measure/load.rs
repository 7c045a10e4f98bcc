use crate::error::{Error, SystemSnafu};
use hyssop_load::{run, Balancer, Record, Stream};
use snafu::ResultExt;
use std::thread::JoinHandle;
use std::time::Duration;

/// Is load that runs beside the measure.
pub(super) struct Load {
    thread: JoinHandle<Vec<Record>>,
}

impl Load {
    /// Starts sending.
    pub(super) fn start(
        streams: &[Stream],
        balancer: &Balancer,
        length: Duration,
        seed: u64,
    ) -> Result<Self, Error> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .context(SystemSnafu)?;
        let (streams, balancer) = (streams.to_vec(), balancer.clone());
        let thread =
            std::thread::spawn(move || runtime.block_on(run(&streams, &balancer, length, seed)));
        Ok(Self { thread })
    }

    /// Waits for the last request and returns what became of each.
    pub(super) fn finish(self) -> Vec<Record> {
        self.thread.join().unwrap_or_default()
    }
}
