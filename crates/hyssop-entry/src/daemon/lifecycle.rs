use super::error::{Error, ListenSnafu, LogSnafu, SystemSnafu};
use crate::core::{self, Inbox, Message};
use crate::jobs::{JobStore, Submitter};
use crate::metric::Metrics;
use crate::operator::CommandHandler;
use crate::peer::{self, Links};
use crate::state::State;
use crate::store::{self, Poller};
use crate::{backend, front};
use hyssop_config::settings::Entry;
use hyssop_event::{Kind, Recorder};
use hyssop_model::clock::System;
use hyssop_model::entry::{Id, Member};
use hyssop_model::prelude::*;
use hyssop_platform::http::Client;
use hyssop_policy::claim;
use hyssop_policy::dispatch::{self, Dispatcher};
use rand::Rng;
use snafu::ResultExt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// The running entry, with the handles that its shutdown uses.
struct Daemon {
    settings: Entry,
    state: Arc<State>,
    inbox: Inbox,
    recorder: Recorder,
    poll_trigger: flume::Sender<()>,
}

/// Runs the entry until it receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when a socket cannot listen on its address or the operating system refuses a thread.
pub fn run(settings: Entry) -> Result<(), Error> {
    hyssop_event::log::start(&settings.process.name, &settings.process.log).context(LogSnafu)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads as usize)
        .enable_all()
        .build()
        .context(SystemSnafu)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context(SystemSnafu)?;
        let mut interrupt = signal(SignalKind::interrupt()).context(SystemSnafu)?;
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        let announce = |member: &Member| {
            println!(
                "ready entry=http://{} pid={}",
                member.address,
                std::process::id()
            );
        };
        serve(settings, announce, stop).await
    })
}

/// Serves until `stop` completes, then stops gracefully.
///
/// `announce` is called with the addresses in use once the entry listens on them.
///
/// # Errors
///
/// Fails when a socket cannot listen on its address or the operating system refuses a thread.
pub async fn serve(
    settings: Entry,
    announce: impl FnOnce(&Member),
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let callers = bind(settings.callers).await?;
    let peers = bind(settings.peers).await?;
    let member = member(&settings, &callers, &peers);
    let clock: Arc<dyn Clock> = Arc::new(System);
    let recorder = Recorder::new(&settings.process.name, clock.clone());
    let metrics = Arc::new(Metrics::new());
    let state = Arc::new(State::new(member.clone(), settings.isolation, clock.now()));
    let backends = Arc::new(backend::Pool::new(settings.limits.answer));
    let (inbox, messages) = flume::unbounded();
    let runtime = tokio::runtime::Handle::current();
    let links = Arc::new(Links::new(
        member.clone(),
        runtime,
        recorder.clone(),
        metrics.clone(),
    ));
    let (poll_trigger, poll_triggers) = flume::bounded(1);
    let core = core::Parts {
        clock: clock.clone(),
        state: state.clone(),
        links,
        backends: backends.clone(),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
        dispatcher: Dispatcher::new(member.id, dispatch_settings(&settings, member.id)),
        claims: claim::Coordinator::new(member.id, claim_settings(&settings)),
        poll_trigger: poll_trigger.clone(),
    };
    let core_thread = core::spawn(core, inbox.clone(), messages).context(SystemSnafu)?;
    let timeout_s = settings.process.platform_timeout.as_secs().max(1);
    let client = Arc::new(Client::new(settings.process.platform.clone(), timeout_s));
    let poller = Poller::new(store::Parts {
        process: settings.process.clone(),
        clock: clock.clone(),
        table: client.clone(),
        objects: client.clone(),
        state: state.clone(),
        inbox: inbox.clone(),
        recorder: recorder.clone(),
        metrics: metrics.clone(),
        poll_triggers,
    });
    let should_stop = Arc::new(AtomicBool::new(false));
    let poller_should_stop = should_stop.clone();
    let poller_thread = std::thread::Builder::new()
        .name("store".to_owned())
        .spawn(move || poller.run(&|| poller_should_stop.load(Ordering::SeqCst)))
        .context(SystemSnafu)?;
    let jobs = Arc::new(JobStore {
        region: settings.process.region.clone(),
        table: client.clone(),
        submitter: Submitter::start(&settings.process.region, client.clone(), metrics.clone())
            .context(SystemSnafu)?,
    });
    let frontend = Arc::new(front::Frontend {
        state: state.clone(),
        limits: settings.limits.clone(),
        bodies: front::Memory::new(&settings.limits),
        inbox: inbox.clone(),
        backends: backends.clone(),
        metrics,
        recorder: recorder.clone(),
        command_handler: Arc::new(CommandHandler {
            region: settings.process.region.clone(),
            clock: clock.clone(),
            table: client.clone(),
            objects: client,
            recorder: recorder.clone(),
        }),
        jobs,
        last_request_number: AtomicU64::new(0),
    });
    let (stop_frontend, stopped) = watch::channel(false);
    let frontend_task = tokio::spawn(front::serve(callers, frontend, stopped));
    tokio::spawn(peer::listen(
        peers,
        inbox.clone(),
        recorder.clone(),
        state.clone(),
    ));
    tokio::spawn(backend::run_probes(inbox.clone(), backends));
    recorder.record(
        Kind::ProcessStarted,
        &[("address", &member.address), ("incarnation", &member.id)],
    );
    announce(&member);
    let daemon = Daemon {
        settings,
        state,
        inbox,
        recorder,
        poll_trigger,
    };
    stop.await;
    daemon.stop(&stop_frontend, frontend_task).await;
    should_stop.store(true, Ordering::SeqCst);
    // The flag and the message end the threads; a panic in one of them has already been logged.
    let _ = tokio::task::spawn_blocking(move || poller_thread.join()).await;
    let _ = daemon.inbox.send(Message::Stop);
    let _ = tokio::task::spawn_blocking(move || core_thread.join()).await;
    daemon.recorder.record(Kind::ProcessStopped, &[]);
    Ok(())
}

impl Daemon {
    /// Stops without interrupting a request: the entry becomes not ready, then stops accepting
    /// requests, then waits until none is left.
    async fn stop(&self, stop: &watch::Sender<bool>, frontend_task: tokio::task::JoinHandle<()>) {
        self.recorder.record(Kind::ProcessStopping, &[]);
        self.state.stop();
        tokio::time::sleep(self.settings.balancer_delay).await;
        // Sending fails only if the front end has panicked.
        let _ = stop.send(true);
        let _ = frontend_task.await;
        // Sending fails only if the core has panicked.
        let _ = self.inbox.send(Message::Close);
        self.wait_until_idle().await;
        let _ = self.inbox.send(Message::Leave);
        self.hand_over().await;
    }

    /// Hands the claims over and leaves the membership. If the platform or the successors do not
    /// respond in time, the lease expires instead.
    async fn hand_over(&self) {
        const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
        const EPOCH_TIMEOUT: Duration = Duration::from_secs(5);
        const POLL_INTERVAL: Duration = Duration::from_millis(50);
        let (reply, handed_over) = flume::bounded(1);
        if self.inbox.send(Message::HandOver(reply)).is_err() {
            return;
        }
        let confirmation = tokio::time::timeout(HANDOVER_TIMEOUT, handed_over.recv_async());
        if !matches!(confirmation.await, Ok(Ok(()))) {
            log::warn!("event=hand-over-unconfirmed");
            return;
        }
        self.state.set_handed_over();
        let deadline = Instant::now() + EPOCH_TIMEOUT;
        while self.state.is_member() && Instant::now() < deadline {
            // A full channel means that a poll is already pending.
            let _ = self.poll_trigger.try_send(());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_until_idle(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        loop {
            let (reply, snapshot) = flume::bounded(1);
            if self.inbox.send(Message::TakeSnapshot(reply)).is_err() {
                return;
            }
            match snapshot.recv_async().await {
                Ok(snapshot) if snapshot.load > 0 => tokio::time::sleep(POLL_INTERVAL).await,
                _ => return,
            }
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn member(settings: &Entry, callers: &TcpListener, peers: &TcpListener) -> Member {
    let local = |listener: &TcpListener, configured: SocketAddr| {
        listener.local_addr().unwrap_or(configured).to_string()
    };
    Member {
        id: Id(rand::rng().random()),
        name: settings.process.name.clone(),
        address: local(callers, settings.callers),
        peer_address: local(peers, settings.peers),
        data_centre: settings.process.data_centre.clone(),
    }
}

fn dispatch_settings(settings: &Entry, id: Id) -> dispatch::Settings {
    dispatch::Settings {
        allocation: settings.allocation,
        admission: settings.admission,
        seed: id.0,
        ..dispatch::Settings::default()
    }
}

fn claim_settings(settings: &Entry) -> claim::Settings {
    claim::Settings {
        retention: settings.limits.answer_retention,
        memory: settings.limits.answer_memory,
        ..claim::Settings::default()
    }
}
