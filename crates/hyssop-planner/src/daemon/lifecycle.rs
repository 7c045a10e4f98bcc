use super::error::{Error, ListenSnafu, LogSnafu, SystemSnafu};
use super::region::{Platform, Region};
use crate::reports::Http;
use crate::status::{Listener, Metrics, Server};
use hyssop_config::settings::Planner;
use hyssop_event::{Kind, Recorder};
use hyssop_model::clock::System;
use hyssop_model::prelude::*;
use hyssop_platform::http::Client;
use rand::Rng;
use snafu::ResultExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Runs the planner until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the log can't be set up, the status server can't listen on its address, or
/// a thread or a signal handler can't be created.
pub fn run(settings: Planner) -> Result<(), Error> {
    hyssop_event::log::start(&settings.process.name, &settings.process.log).context(LogSnafu)?;
    let is_stopping = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, is_stopping.clone()).context(SystemSnafu)?;
    }
    let listener = Listener::bind(settings.status).context(ListenSnafu {
        address: settings.status,
    })?;
    let clock: Arc<dyn Clock> = Arc::new(System);
    let recorder = Recorder::new(&settings.process.name, clock.clone());
    let metrics = Arc::new(Metrics::new());
    let address = listener.address().to_string();
    let status_server = Server {
        recorder: recorder.clone(),
        metrics: metrics.clone(),
    };
    std::thread::Builder::new()
        .name("status".to_owned())
        .spawn(move || {
            if let Err(error) = listener.serve(status_server) {
                log::error!("event=status-failed reason={:?}", error.to_string());
            }
        })
        .context(SystemSnafu)?;
    recorder.record(Kind::ProcessStarted, &[("address", &address)]);
    println!("ready planner=http://{address} pid={}", std::process::id());
    let timeout_s = settings.process.platform_timeout.as_secs().max(1);
    let client = Arc::new(Client::new(settings.process.platform.clone(), timeout_s));
    let platform = Platform {
        table: client.clone(),
        objects: client.clone(),
        roster: client.clone(),
        workers: client,
    };
    let incarnation = rand::rng().random_range(1..u64::MAX);
    let reports = Box::new(Http);
    let mut region = Region::new(
        &settings.process,
        clock,
        platform,
        reports,
        recorder.clone(),
        metrics,
        incarnation,
    );
    while !is_stopping.load(Ordering::SeqCst) {
        let pause = region.run_once();
        std::thread::sleep(pause.mul_f64(rand::rng().random_range(0.8..1.2)));
    }
    region.stop();
    recorder.record(Kind::ProcessStopped, &[]);
    Ok(())
}
