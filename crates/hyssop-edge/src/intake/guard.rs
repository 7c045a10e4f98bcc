use super::permit::Closer;
use super::Permit;
use crate::metric::Intake;
use crate::node::{Clock, Node};
use hyssop_policy::intake::{Capacity, Gate, Key, Listener, Pace, Reason, Shortage, Timeouts};
use std::cell::{Cell, RefCell, RefMut};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use strum::VariantArray;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// The pause after a connection could not be accepted, for instance without a free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The interval at which connections are checked; a shortage lasts a little longer than the time without
/// progress that it allows, 0.5 s.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// The interval of log lines about the same reason.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// The frames of bodies that may be parsed in a second for each core of the instance. A frame takes some
/// 0.35 us in the release build, so that one-byte chunks take a seventh of the instance's share.
const FRAMES_PER_CORE: u64 = 400_000;
/// The frames that may be parsed at once after a pause: a body of the default limit in one-byte chunks.
const BURST_FRAMES: u64 = 262_144;
/// The times if the configuration sets none.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// How often something happened, and when it was last logged.
#[derive(Clone, Copy, Default)]
struct Line {
    logged_at: Option<Duration>,
    count: u64,
}

/// Applies the gate's decisions to the process's connections.
pub(crate) struct Guard {
    clock: Clock,
    gate: RefCell<Gate>,
    pace: RefCell<Pace>,
    /// The times of the configuration, as of the last check.
    timeouts: Cell<Timeouts>,
    closers: RefCell<BTreeMap<Key, Rc<Closer>>>,
    /// Notified when a listener has room again, by [`Listener`].
    room: [Notify; Listener::VARIANTS.len()],
    lines: RefCell<BTreeMap<Reason, Line>>,
    metrics: Intake,
}

impl Guard {
    /// Creates the guard of an instance with a CPU share in thousandths of a core.
    pub(crate) fn new(capacity: Capacity, share: u64, clock: Clock, metrics: Intake) -> Rc<Self> {
        let rate = (FRAMES_PER_CORE * share / 1_000).max(1);
        let burst = Duration::from_millis(BURST_FRAMES * 1_000 / rate);
        let rate = u32::try_from(rate).unwrap_or(u32::MAX);
        log::info!(
            "event=intake bytes={} peer_bytes={} callers={} probes={} peers={} jobs={} \
             frames_per_s={rate}",
            capacity.bytes,
            capacity.peer_bytes,
            capacity.callers,
            capacity.probes,
            capacity.peers,
            capacity.jobs
        );
        Rc::new(Self {
            clock,
            gate: RefCell::new(Gate::new(capacity)),
            pace: RefCell::new(Pace::new(rate, burst)),
            timeouts: Cell::new(Timeouts {
                header: DEFAULT_HEADER_TIMEOUT,
                idle: DEFAULT_IDLE_TIMEOUT,
            }),
            closers: RefCell::default(),
            room: Default::default(),
            lines: RefCell::default(),
            metrics,
        })
    }

    pub(super) fn gate(&self) -> RefMut<'_, Gate> {
        self.gate.borrow_mut()
    }

    pub(crate) fn capacity(&self) -> Capacity {
        self.gate.borrow().capacity()
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Accepts a connection as soon as the listener has room for it.
    pub(crate) async fn accept(
        self: &Rc<Self>,
        which: Listener,
        listener: &TcpListener,
    ) -> (TcpStream, Rc<Permit>) {
        loop {
            if !self.gate().has_room(which) {
                self.count(Reason::Paused);
                self.room[which as usize].notified().await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(permit) = self.open(which) {
                        return (stream, permit);
                    }
                }
                Err(error) => {
                    log::debug!("event=accept-failed reason={error:?}");
                    self.count(Reason::AcceptFailed);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Issues a permit for a connection; returns `None` if the listener has no room.
    pub(crate) fn open(self: &Rc<Self>, which: Listener) -> Option<Rc<Permit>> {
        let key = self.gate().open(which, self.now())?;
        let closer: Rc<Closer> = Rc::default();
        self.closers.borrow_mut().insert(key, closer.clone());
        Some(Rc::new(Permit::new(self.clone(), key, closer)))
    }

    pub(super) fn close(&self, key: Key) {
        self.closers.borrow_mut().remove(&key);
        self.gate().close(key);
        for which in Listener::VARIANTS {
            if self.gate().has_room(*which) {
                self.room[*which as usize].notify_one();
            }
        }
    }

    /// Returns whether a connection must still be closed.
    pub(super) fn is_due(&self, key: Key) -> bool {
        let gate = self.gate.borrow();
        gate.is_due(key, self.now(), self.timeouts.get())
    }

    /// Waits until some frames of a body may be parsed.
    pub(super) async fn turn(&self, frames: u32) {
        let wait = self.pace.borrow_mut().take(frames, self.now());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Counts a refusal, and logs it at most once in [`LINE_INTERVAL`].
    pub(crate) fn count(&self, reason: Reason) {
        self.metrics.count(reason.into());
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(reason).or_default();
        line.count += 1;
        line.log(reason, self.now());
    }

    /// Sets the gauges to what is held now.
    pub(crate) fn measure(&self, job_bytes: usize) {
        let gate = self.gate.borrow();
        let capacity = gate.capacity();
        self.metrics.set_bytes(gate.bytes(), capacity.bytes);
        self.metrics
            .set_peer_bytes(gate.peer_bytes(), capacity.peer_bytes);
        self.metrics.set_job_bytes(job_bytes, capacity.jobs);
        for which in Listener::VARIANTS {
            let (held, limit) = (gate.connections(*which), capacity.connections(*which));
            self.metrics.set_connections(which.into(), held, limit);
        }
    }

    /// Closes the connections that exceed their time, or must make room.
    fn sweep(&self, timeouts: Timeouts, job_bytes: usize) {
        let now = self.now();
        self.gate().set_job_bytes(job_bytes);
        self.timeouts.set(timeouts);
        let shortages = self.gate().shortages(now);
        shortages.iter().for_each(log_shortage);
        let closed = self.gate().sweep(now, timeouts);
        for (key, reason) in closed {
            if let Some(closer) = self.closers.borrow().get(&key) {
                closer.close(reason);
            }
        }
        for (reason, line) in self.lines.borrow_mut().iter_mut() {
            line.log(*reason, now);
        }
    }
}

impl Line {
    fn log(&mut self, reason: Reason, now: Duration) {
        let is_due = |at: Duration| now.saturating_sub(at) >= LINE_INTERVAL;
        if self.count > 0 && self.logged_at.is_none_or(is_due) {
            // Idle connections end on ordinary days too.
            let level = match reason {
                Reason::IdleTimeout => log::Level::Debug,
                _ => log::Level::Warn,
            };
            log::log!(
                level,
                "event=intake-refused reason={reason} count={}",
                self.count
            );
            *self = Self {
                logged_at: Some(now),
                count: 0,
            };
        }
    }
}

fn log_shortage(shortage: &Shortage) {
    let Shortage {
        resource,
        held,
        capacity,
        duration,
    } = shortage;
    match duration {
        None => {
            log::warn!("event=intake-short resource={resource} held={held} capacity={capacity}")
        }
        Some(duration) => log::info!(
            "event=intake-calm resource={resource} held={held} capacity={capacity} after_ms={}",
            duration.as_millis()
        ),
    }
}

/// Checks all connections again and again.
pub(crate) async fn sweep(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let timeouts = {
            let configuration = node.configuration.borrow();
            Timeouts {
                header: configuration
                    .header_timeout
                    .unwrap_or(DEFAULT_HEADER_TIMEOUT),
                idle: configuration.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            }
        };
        node.guard.sweep(timeouts, node.job_bytes());
    }
}
