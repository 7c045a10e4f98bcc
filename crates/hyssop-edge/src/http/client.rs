use super::connection::Connection;
use super::destination::{Destination, Idle};
use super::{Failure, Lane};
use hyssop_platform::dialect::{Call, Reply};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// The timeout of new connections: the network's delay is a few milliseconds, while a lost SYN is
/// retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The interval between searches for connections that have been idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

type Destinations = BTreeMap<SocketAddr, Rc<Destination>>;

/// An HTTP client that reuses connections.
#[derive(Clone)]
pub(crate) struct Client {
    destinations: Rc<RefCell<Destinations>>,
    /// How long orders that no fencing token guards may be unacknowledged.
    unfenced_timeout: Duration,
    swept_at: Rc<Cell<Instant>>,
}

/// A permit for one call; the call's timeouts start after the slot is acquired.
pub(crate) struct Slot {
    address: SocketAddr,
    lane: Lane,
    destination: Rc<Destination>,
    user_timeout: Option<Duration>,
    _permit: OwnedSemaphorePermit,
}

impl Client {
    /// Creates a client of a process whose successor orders changes of instances no sooner than
    /// `handover_gap` after it took over.
    pub(crate) fn new(handover_gap: Duration) -> Self {
        /// The part of the gap after which an order that was not acknowledged is dropped; the rest is for
        /// the system's timers and the way through the network.
        const UNFENCED_PART: u32 = 2;
        Self {
            destinations: Rc::default(),
            unfenced_timeout: handover_gap / UNFENCED_PART,
            swept_at: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// Waits for a free slot in a lane.
    ///
    /// # Panics
    ///
    /// Panics if the semaphore is closed, which no code does.
    pub(crate) async fn slot(&self, address: SocketAddr, lane: Lane) -> Slot {
        self.close_idle();
        let destination = self
            .destinations
            .borrow_mut()
            .entry(address)
            .or_insert_with(|| Destination::new(address))
            .clone();
        let permit = destination.permits(lane).acquire_owned().await;
        Slot {
            address,
            lane,
            destination,
            user_timeout: lane.is_unfenced().then_some(self.unfenced_timeout),
            _permit: permit.expect("lanes are never closed"),
        }
    }

    /// Closes connections that have been idle for too long, and forgets the destinations without any.
    fn close_idle(&self) {
        let now = Instant::now();
        if now.duration_since(self.swept_at.get()) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at.set(now);
        let mut destinations = self.destinations.borrow_mut();
        destinations.retain(|_, destination| {
            let is_used = destination.close_idle(now);
            // A call that waits for its permit has a reference to the destination.
            is_used || Rc::strong_count(destination) > 1
        });
    }

    /// Waits for a free slot and makes a call in it.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        lane: Lane,
        call: Call,
        timeout: Duration,
    ) -> Result<Reply, Failure> {
        self.slot(address, lane).await.call(call, timeout).await
    }
}

impl Slot {
    /// Makes one call; the connection is reused only if the whole answer has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if no connection could be opened, and [`Failure::Lost`] if there was
    /// no whole answer within `timeout`.
    pub(crate) async fn call(self, call: Call, timeout: Duration) -> Result<Reply, Failure> {
        let (mut connection, heard_at) = match self.destination.take_idle(self.lane) {
            Some(Idle {
                connection,
                heard_at,
            }) => (connection, Some(heard_at)),
            None => {
                let opening = Connection::open(self.address, self.user_timeout);
                let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
                let connection = opened.ok().flatten().ok_or(Failure::Unsent)?;
                (connection, None)
            }
        };
        let sent_at = Instant::now();
        let answer = tokio::time::timeout(timeout, connection.exchange(call)).await;
        if let (Err(_), Some(heard_at)) = (&answer, heard_at) {
            self.destination.on_silence(self.lane, heard_at, sent_at);
        }
        let reply = answer.ok().flatten().ok_or(Failure::Lost)?;
        self.destination
            .put_back(self.lane, connection, Instant::now());
        Ok(reply)
    }
}
