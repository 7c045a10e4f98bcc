use super::connection::Connection;
use super::Lane;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Connections that were idle for this long are closed: a peer that vanished without closing them
/// would otherwise hold descriptors for good.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// An open connection without a call.
pub(super) struct Idle {
    pub(super) connection: Connection,
    /// When its last answer arrived.
    pub(super) heard_at: Instant,
}

/// The connections to one address.
pub(super) struct Destination {
    address: SocketAddr,
    lanes: RefCell<BTreeMap<Lane, LaneConnections>>,
    /// When the last call was sent that a reused connection left unanswered.
    ///
    /// A peer or the network may drop connections without a reset, usually all of them at once. Those
    /// that were last heard before are then no better than the one that was found out, and are not
    /// used again: each would cost its next call a whole timeout.
    silent_since: Cell<Option<Instant>>,
}

struct LaneConnections {
    permits: Arc<Semaphore>,
    idle: Vec<Idle>,
}

impl Destination {
    pub(super) fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            address,
            lanes: RefCell::default(),
            silent_since: Cell::new(None),
        })
    }

    /// Returns the permits for calls in a lane.
    pub(super) fn permits(&self, lane: Lane) -> Arc<Semaphore> {
        let mut lanes = self.lanes.borrow_mut();
        lanes
            .entry(lane)
            .or_insert_with(|| LaneConnections::new(lane))
            .permits
            .clone()
    }

    /// Returns the idle connection of a lane that was heard last, `None` if there is none to trust.
    pub(super) fn take_idle(&self, lane: Lane) -> Option<Idle> {
        let silent_since = self.silent_since.get();
        let mut lanes = self.lanes.borrow_mut();
        let idle = &mut lanes.get_mut(&lane)?.idle;
        idle.retain(|idle| idle.is_trusted(silent_since));
        let latest = (0..idle.len()).max_by_key(|&index| idle[index].heard_at)?;
        Some(idle.swap_remove(latest))
    }

    /// Keeps a connection for later calls.
    pub(super) fn put_back(&self, lane: Lane, connection: Connection, heard_at: Instant) {
        if connection.is_closed() {
            return;
        }
        if let Some(connections) = self.lanes.borrow_mut().get_mut(&lane) {
            connections.idle.push(Idle {
                connection,
                heard_at,
            });
        }
    }

    /// Records that a reused connection, last heard at `heard_at`, has left a call unanswered that was
    /// sent at `sent_at`.
    pub(super) fn on_silence(&self, lane: Lane, heard_at: Instant, sent_at: Instant) {
        let silent_since = self.silent_since.get().max(Some(sent_at));
        self.silent_since.set(silent_since);
        let mut dropped = 0;
        for connections in self.lanes.borrow_mut().values_mut() {
            let known = connections.idle.len();
            let idle = &mut connections.idle;
            idle.retain(|idle| idle.is_trusted(silent_since));
            dropped += known - idle.len();
        }
        if dropped > 0 {
            log::info!(
                "event=connections-distrusted to={} lane={lane} count={dropped} idle_ms={}",
                self.address,
                sent_at.duration_since(heard_at).as_millis()
            );
        }
    }

    /// Closes the connections that have been idle for too long; returns whether the destination is still
    /// in use.
    pub(super) fn close_idle(&self, now: Instant) -> bool {
        let mut lanes = self.lanes.borrow_mut();
        for connections in lanes.values_mut() {
            connections.idle.retain(|idle| {
                !idle.connection.is_closed() && now.duration_since(idle.heard_at) < IDLE_TIMEOUT
            });
        }
        lanes.iter().any(|(lane, connections)| {
            let is_calling = connections.permits.available_permits() < lane.max_connections();
            is_calling || !connections.idle.is_empty()
        })
    }
}

impl LaneConnections {
    fn new(lane: Lane) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(lane.max_connections())),
            idle: Vec::new(),
        }
    }
}

impl Idle {
    fn is_trusted(&self, silent_since: Option<Instant>) -> bool {
        !self.connection.is_closed() && silent_since.is_none_or(|since| self.heard_at > since)
    }
}
