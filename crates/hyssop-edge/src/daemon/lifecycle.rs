use super::addresses::follow_addresses;
use super::configuration::{fetch_on_demand, follow_operators};
use super::error::{Error, ListenSnafu, LogSnafu, RuntimeSnafu};
use crate::front::{self, Keyring, Traffic};
use crate::http::Client;
use crate::intake::{self, Guard};
use crate::metric::Metrics;
use crate::node::{Clock, Node, Stage, Timing};
use crate::ownership::{
    confirm_with_peers, follow_owners, monitor_shards, register, release_all, remove_lost_members,
    Suspects,
};
use crate::peer::{self, Links};
use crate::store::Store;
use hyssop_platform::dialect::Dialect;
use hyssop_policy::intake::Capacity;
use hyssop_policy::{account, owner};
use platform::settings::Settings;
use snafu::ResultExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, LocalSet};

/// The time between the end of the process and its kill by the platform.
const EXIT_MARGIN: Duration = Duration::from_millis(800);
/// The balancer sends no new connections after two missed probes, a second apart.
const ROTATION_TIME: Duration = Duration::from_millis(2_500);
/// The share of the time until the exit after which connections are closed with their next answer
/// at the latest, if it is too short for [`ROTATION_TIME`].
const PARTING_SHARE: f64 = 0.5;
/// The share of the time until the exit in which connections are accepted; a request that waits for
/// a failover, which takes about a second, is served within the rest.
const ACCEPTING_SHARE: f64 = 0.7;
/// How long requests on connections that were opened before the listener was closed are on their
/// way, and are still served.
const ARRIVAL_TIME: Duration = Duration::from_millis(250);
/// The time between the final answers and the exit, in which they reach callers and peers.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// The shortest age of a configuration within which keys are accepted all the time: a feed call without
/// changes waits 1,500 ms, and a slow store takes some hundred milliseconds more.
const MIN_TRUSTED_AGE: Duration = Duration::from_millis(2_400);
/// The only supported way of sending orders to workers.
const ORDERS_BY_CALL: &str = "call";
/// The interval between checks for open requests and connections during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the process until it receives SIGTERM.
///
/// # Errors
///
/// Returns an error if the log or the runtime can't be set up, or an address can't be bound.
pub fn run(settings: Settings, dialect: Box<dyn Dialect>) -> Result<(), Error> {
    hyssop_event::log::start_unstamped().context(LogSnafu)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    LocalSet::new().block_on(&runtime, run_node(settings, dialect.into()))
}

/// Derives the timing parameters from the platform's settings.
fn timing(settings: &Settings) -> Timing {
    /// The upper bound on a worker's lease, after which the tasks of an unreachable worker run
    /// elsewhere.
    const LEASE: Duration = Duration::from_millis(3_500);
    /// The part of the time after which accepted jobs must have started that they may wait: the
    /// forecast of the wait may be off by a factor of two.
    const MAX_START_DELAY_PART: f64 = 0.5;
    let max_lease = Duration::from_millis(settings.bounds.hold_max_ms);
    Timing {
        scheduler: owner::Settings {
            lease: LEASE.min(max_lease),
            max_lease,
            job_retention: Duration::from_secs_f64(settings.bounds.status_s)
                + Duration::from_secs(10),
            max_start_delay: Duration::from_secs_f64(
                settings.bounds.finish_s * MAX_START_DELAY_PART,
            ),
            account_window: Duration::from_secs_f64(settings.bounds.quota_window_s),
            max_row_bytes: settings.platform.row_bytes,
            enforces_quotas: settings.enforces_quotas(),
            ..owner::Settings::default()
        },
        grace_period: Duration::from_secs_f64(settings.bounds.grace_period_s),
        handover_gap: Duration::from_millis(settings.bounds.lease_duration_ms),
    }
}

/// Creates the process's state before any task has started.
fn create_node(settings: &Settings, dialect: Rc<dyn Dialect>, address: SocketAddr) -> Rc<Node> {
    let clock = Clock::new();
    let client = Client::new(Duration::from_millis(settings.bounds.lease_duration_ms));
    let metrics = Metrics::new();
    let limits = &settings.limits;
    let guard = Guard::new(
        Capacity::new(limits.memory_mb, limits.file_descriptors),
        limits.share(),
        clock.clone(),
        metrics.intake.clone(),
    );
    let store = Store::new(
        settings.platform.address,
        dialect.clone(),
        client.clone(),
        clock.clone(),
        metrics.rejections.clone(),
    );
    Rc::new(Node {
        name: settings.node_name.clone(),
        process: format!("{}/{}", settings.node_name, clock.wall_ms()),
        data_centre: settings.zone.clone(),
        share: settings.limits.share(),
        memory_mb: limits.memory_mb,
        address,
        advice_address: settings.advice.as_ref().and_then(|text| text.parse().ok()),
        instance_api: settings.cloud_api.map(|service| service.address),
        timing: timing(settings),
        clock,
        dialect,
        client,
        store,
        metrics,
        guard,
        configuration: RefCell::default(),
        keyring: Keyring::new(account::Bounds::new(
            settings.requires_accounts(),
            settings.bounds.strict_revocation,
            Duration::from_millis(settings.bounds.revocation_ms),
        )),
        directory: RefCell::default(),
        waves: RefCell::default(),
        members: RefCell::default(),
        owners: RefCell::default(),
        drivers: RefCell::default(),
        fleet_term: Cell::new(None),
        recent_orders: RefCell::default(),
        followed_version: Cell::new(0),
        topology: Cell::new(0),
        suspects: Suspects::default(),
        series: Cell::default(),
        links: Links::default(),
        changes: watch::channel(0).0,
        configuration_outdated: Notify::new(),
        is_stopping: Cell::new(false),
        stage: watch::channel(Stage::Serving).0,
        is_registered: Cell::new(false),
        fleet_seen_at: Cell::new(Duration::ZERO),
        acquiring: RefCell::default(),
        peers_confirmed_at: Cell::new(Duration::ZERO),
    })
}

/// Listens on `address`; also returns the bound address, with the port chosen by the system for
/// port 0.
async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let bound = listener.local_addr().context(ListenSnafu { address })?;
    Ok((listener, bound))
}

/// Starts all tasks, and stops the process on SIGTERM.
async fn run_node(settings: Settings, dialect: Rc<dyn Dialect>) -> Result<(), Error> {
    let (front, front_address) = listen(settings.listen_addresses.front).await?;
    let (ready, ready_address) = listen(settings.listen_addresses.ready).await?;
    let link = SocketAddr::new(settings.ip, settings.internal_port_range.0);
    let (peers, link) = listen(link).await?;
    let node = create_node(&settings, dialect, link);
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut hang_up = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    log::info!(
        "event=start front={front_address} ready={ready_address} peers={link} node={} process={} \
         data_centre={} version={}",
        node.name,
        node.process,
        node.data_centre,
        env!("CARGO_PKG_VERSION")
    );
    if !settings.orders.is_empty() && settings.orders != ORDERS_BY_CALL {
        log::error!(
            "event=orders-unknown orders={} remedy=\"set orders to call\"",
            settings.orders
        );
    }
    let max_age = node.keyring.max_age();
    if max_age.is_some_and(|max_age| max_age < MIN_TRUSTED_AGE) {
        log::error!(
            "event=revocation-too-short revocation_ms={} \
             remedy=\"set revocation-ms to 4000 or more, or strict-revocation to false\"",
            settings.bounds.revocation_ms
        );
    }
    let traffic = Rc::new(Traffic::default());
    spawn_local(follow_operators(node.clone()));
    spawn_local(fetch_on_demand(node.clone()));
    spawn_local(follow_owners(node.clone()));
    spawn_local(follow_addresses(node.clone()));
    spawn_local(register(node.clone(), false));
    spawn_local(peer::listen(node.clone(), peers));
    spawn_local(monitor_shards(node.clone()));
    spawn_local(remove_lost_members(node.clone()));
    spawn_local(confirm_with_peers(node.clone()));
    spawn_local(front::watch_trust(node.clone()));
    spawn_local(intake::sweep(node.clone()));
    spawn_local(front::serve_probes(node.clone(), ready, front::probe));
    spawn_local(front::serve(
        node.clone(),
        front,
        traffic.clone(),
        front::handle,
    ));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // The addresses can't change at run time, and the file has no other settings to
            // reload.
            _ = hang_up.recv() => log::info!("event=reload outcome=unchanged"),
        }
    }
    stop(&node, &traffic).await;
    Ok(())
}

/// Releases all shards, continues to forward callers' requests to the new owners for most of the
/// remaining time, and returns once all requests are answered.
async fn stop(node: &Rc<Node>, traffic: &Traffic) {
    let started_at = node.clock.now();
    let time = node.timing.grace_period.saturating_sub(EXIT_MARGIN);
    node.is_stopping.set(true);
    log::info!(
        "event=stop node={} active={}",
        node.name,
        traffic.active.get()
    );
    spawn_local(register(node.clone(), true));
    let releasing = node.clone();
    let release = spawn_local(async move { release_all(&releasing).await });
    let sleep_until = |time: Duration| {
        let elapsed = node.clock.now().saturating_sub(started_at);
        tokio::time::sleep(time.saturating_sub(elapsed))
    };
    let begin = |stage: Stage| {
        log::info!(
            "event=stop-stage node={} stage={stage:?} active={} connections={} after_ms={}",
            node.name,
            traffic.active.get(),
            traffic.connections.get(),
            node.clock.now().saturating_sub(started_at).as_millis()
        );
        node.stage.send_replace(stage);
    };
    sleep_until(ROTATION_TIME.min(time.mul_f64(PARTING_SHARE))).await;
    begin(Stage::Parting);
    let closing_at = time.mul_f64(ACCEPTING_SHARE);
    sleep_until(closing_at).await;
    begin(Stage::Closed);
    sleep_until(closing_at + ARRIVAL_TIME).await;
    begin(Stage::Refusing);
    let answering_at = started_at + time.saturating_sub(ANSWER_TIME);
    wait_until(node, answering_at, || {
        traffic.active.get() == 0 && release.is_finished()
    })
    .await;
    // The requests that wait for an owner of this process learn whether their jobs may be stored.
    let drivers: Vec<_> = node.drivers.borrow().values().cloned().collect();
    drivers.iter().for_each(|driver| driver.depose("exit"));
    begin(Stage::Final);
    tokio::time::sleep(POLL_INTERVAL).await;
    wait_until(node, started_at + time, || traffic.connections.get() == 0).await;
    log::info!(
        "event=end node={} active={} connections={} after_ms={}",
        node.name,
        traffic.active.get(),
        traffic.connections.get(),
        node.clock.now().saturating_sub(started_at).as_millis()
    );
}

/// Waits until `condition` is met, or until `deadline`.
async fn wait_until(node: &Node, deadline: Duration, condition: impl Fn() -> bool) {
    while !condition() && node.clock.now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
