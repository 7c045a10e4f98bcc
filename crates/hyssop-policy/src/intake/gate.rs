use super::connection::{Connection, Phase};
use super::{Capacity, Listener, Reason, Timeouts};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use strum::VariantArray;

/// A request that holds no more than this is ordinary: callers' jobs have some kilobytes.
const ORDINARY_BYTES: usize = 16 * 1_024;

/// The parts of a resource, in eighths, in use when a shortage begins and when it ends. That of bytes
/// begins well before large bodies are refused, at six eighths, so that the ones without progress make
/// room for others.
const SHORT_CONNECTIONS: usize = 6;
const CALM_CONNECTIONS: usize = 4;
const SHORT_BYTES: usize = 4;
const CALM_BYTES: usize = 3;
/// The part of the connections up to which those that have been served are closed too.
const FULL_CONNECTIONS: usize = 7;

/// The part of the bytes that jobs never take: with it ordinary requests are still read.
const LEAST_BYTES: usize = 1;

/// A connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u64);

/// The begin or the end of a shortage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// What is short: the connections of a listener, or bytes.
    pub resource: &'static str,
    /// How much of it is held.
    pub held: usize,
    /// How much of it there is.
    pub capacity: usize,
    /// How long it was short; `None` at its begin.
    pub duration: Option<Duration>,
}

/// Issues permits for connections and bytes, and names the connections to close.
#[derive(Clone, Debug)]
pub struct Gate {
    capacity: Capacity,
    /// The bytes of callers' requests while jobs keep within their own part of the memory.
    full_bytes: usize,
    next: u64,
    connections: BTreeMap<Key, Connection>,
    counts: BTreeMap<Listener, usize>,
    bytes: usize,
    peer_bytes: usize,
    /// Since when a resource is short.
    short_since: BTreeMap<&'static str, Duration>,
}

impl Gate {
    /// Creates a gate without connections.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            full_bytes: capacity.bytes,
            next: 0,
            connections: BTreeMap::new(),
            counts: BTreeMap::new(),
            bytes: 0,
            peer_bytes: 0,
            short_since: BTreeMap::new(),
        }
    }

    /// Returns the capacity.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Sets the bytes that jobs hold, which take their excess over their own part of the memory from that
    /// of callers' requests: a process that takes over several full pools has to keep all of their jobs.
    pub fn set_job_bytes(&mut self, held: usize) {
        let excess = held.saturating_sub(self.capacity.jobs);
        let rest = self.full_bytes.saturating_sub(excess);
        self.capacity.bytes = rest.max(part(self.full_bytes, LEAST_BYTES));
    }

    /// Returns the bytes for which callers and probes hold permits.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes for which peers hold permits.
    pub fn peer_bytes(&self) -> usize {
        self.peer_bytes
    }

    /// Returns the number of a listener's connections.
    pub fn connections(&self, listener: Listener) -> usize {
        self.counts.get(&listener).copied().unwrap_or(0)
    }

    /// Returns whether a listener may accept a connection.
    pub fn has_room(&self, listener: Listener) -> bool {
        self.connections(listener) < self.capacity.connections(listener)
    }

    /// Records a new connection; returns `None` if the listener has no room.
    pub fn open(&mut self, listener: Listener, now: Duration) -> Option<Key> {
        if !self.has_room(listener) {
            return None;
        }
        let key = Key(self.next);
        self.next += 1;
        *self.counts.entry(listener).or_default() += 1;
        self.connections.insert(key, Connection::new(listener, now));
        Some(key)
    }

    /// Records that a connection is closed, and takes back all its permits.
    pub fn close(&mut self, key: Key) {
        let Some(connection) = self.connections.remove(&key) else {
            return;
        };
        *self.bytes_mut(connection.listener) -= connection.held;
        if let Some(count) = self.counts.get_mut(&connection.listener) {
            *count -= 1;
        }
    }

    /// Records bytes that arrived on a connection.
    ///
    /// # Errors
    ///
    /// Returns the reason to close the connection if there is no permit for them.
    pub fn receive(&mut self, key: Key, count: usize, now: Duration) -> Result<(), Reason> {
        let Some(connection) = self.connections.get_mut(&key) else {
            return Ok(());
        };
        let bytes = connection.receive(count, now);
        if bytes == 0 {
            return Ok(());
        }
        self.hold(key, bytes)?;
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.hold_head(bytes);
        }
        Ok(())
    }

    /// Records that a head has arrived, and that its body is read now.
    pub fn begin(&mut self, key: Key, now: Duration) {
        self.end_head(key);
        self.enter(key, Phase::Body, now);
    }

    /// Records the end of a pause in which nothing was read from a connection.
    pub fn resume(&mut self, key: Key, now: Duration) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.resume(now);
        }
    }

    /// Takes a permit for bytes of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal if too few are left.
    pub fn hold(&mut self, key: Key, bytes: usize) -> Result<(), Reason> {
        let Some(connection) = self.connections.get_mut(&key) else {
            return Err(Reason::NoBytes);
        };
        let held = connection.held.saturating_add(bytes);
        let limit = match connection.listener {
            Listener::Peers if connection.is_proven => self.capacity.peer_bytes,
            Listener::Peers => self.capacity.peer_bytes / 2,
            _ if held <= ORDINARY_BYTES => self.capacity.bytes,
            _ => self.capacity.bytes / 4 * 3,
        };
        let total = match connection.listener {
            Listener::Peers => &mut self.peer_bytes,
            _ => &mut self.bytes,
        };
        if total.saturating_add(bytes) > limit {
            return Err(Reason::NoBytes);
        }
        connection.held = held;
        *total += bytes;
        Ok(())
    }

    /// Gives back a permit.
    pub fn release(&mut self, key: Key, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&key) {
            let released = bytes.min(connection.held);
            connection.held -= released;
            let listener = connection.listener;
            *self.bytes_mut(listener) -= released;
        }
    }

    /// Records that a request is complete and may run.
    pub fn serve(&mut self, key: Key, now: Duration) {
        self.enter(key, Phase::Serving, now);
    }

    /// Records that a response is ready to be written, and whether it tells of success.
    pub fn answer(&mut self, key: Key, is_success: bool, now: Duration) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.answer(is_success, now);
        }
    }

    /// Records that all that was ready is written.
    pub fn flush(&mut self, key: Key, now: Duration) {
        let connection = self.connections.get_mut(&key);
        if let Some(connection) = connection.filter(|found| found.phase == Phase::Answering) {
            connection.end_answer();
            self.rest(key, now);
        }
    }

    /// Records the end of a valid frame of a peer.
    pub fn finish(&mut self, key: Key, now: Duration) {
        self.rest(key, now);
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.is_proven = true;
        }
    }

    /// Records that a connection waits for its next request, without a request having been served.
    pub fn rest(&mut self, key: Key, now: Duration) {
        self.end_head(key);
        self.enter(key, Phase::Idle, now);
    }

    /// Records whether a caller takes what is written to it.
    pub fn set_blocked(&mut self, key: Key, is_blocked: bool, now: Duration) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.set_blocked(is_blocked, now);
        }
    }

    /// Returns the connections that must be closed now.
    pub fn sweep(&mut self, now: Duration, timeouts: Timeouts) -> Vec<(Key, Reason)> {
        let mut closed: Vec<(Key, Reason)> = Vec::new();
        for (key, connection) in &self.connections {
            let is_short = self.is_short(connection.listener);
            if let Some(reason) = connection.expiry(now, timeouts, is_short) {
                closed.push((*key, reason));
            }
        }
        let expired: BTreeSet<Key> = closed.iter().map(|(key, _)| *key).collect();
        let is_left = |(key, _): &(&Key, &Connection)| !expired.contains(key);
        for listener in Listener::VARIANTS {
            let capacity = self.capacity.connections(*listener);
            if self.connections(*listener) < part(capacity, SHORT_CONNECTIONS) {
                continue;
            }
            let reason = Reason::SlowWhileConnectionsShort;
            let open = self.connections.iter().filter(is_left);
            let mut left = open
                .filter(|(_, connection)| connection.listener == *listener)
                .count();
            for (key, connection) in self.slow(now, &expired) {
                let kept = match connection.is_proven {
                    true => part(capacity, FULL_CONNECTIONS),
                    false => part(capacity, CALM_CONNECTIONS),
                };
                if connection.listener == *listener && left > kept {
                    left -= 1;
                    closed.push((key, reason));
                }
            }
        }
        for (is_peers, held, capacity) in [
            (false, self.bytes, self.capacity.bytes),
            (true, self.peer_bytes, self.capacity.peer_bytes),
        ] {
            if held < part(capacity, SHORT_BYTES) {
                continue;
            }
            let is_of = |connection: &Connection| {
                connection.held > 0 && (connection.listener == Listener::Peers) == is_peers
            };
            let known: BTreeSet<Key> = closed.iter().map(|(key, _)| *key).collect();
            let mut left: usize = self
                .connections
                .iter()
                .filter(|(key, connection)| is_of(connection) && !known.contains(key))
                .map(|(_, connection)| connection.held)
                .sum();
            for (key, connection) in self.slow(now, &known) {
                // A link waits for its next frame while its requests hold bytes.
                let is_link = is_peers && connection.is_proven;
                if is_of(connection) && !is_link && left > part(capacity, CALM_BYTES) {
                    left -= connection.held;
                    closed.push((key, Reason::SlowWhileBytesShort));
                }
            }
            let known: BTreeSet<Key> = closed.iter().map(|(key, _)| *key).collect();
            let mut longest: Vec<_> = self
                .connections
                .iter()
                .filter(|(key, connection)| is_of(connection) && !known.contains(key))
                .filter_map(|(key, connection)| {
                    Some((connection.occupancy(now)?, *key, connection))
                })
                .collect();
            longest.sort_by_key(|(occupancy, key, _)| (Reverse(*occupancy), *key));
            for (_, key, connection) in longest {
                if left > part(capacity, CALM_BYTES) {
                    left -= connection.held;
                    closed.push((key, Reason::LongWhileBytesShort));
                }
            }
        }
        closed
    }

    /// Returns whether a connection that was named by [`Self::sweep`] must still be closed: a request may
    /// have arrived since, and may run.
    pub fn is_due(&self, key: Key, now: Duration, timeouts: Timeouts) -> bool {
        self.connections.get(&key).is_some_and(|connection| {
            let is_short = self.is_short(connection.listener);
            let expiry = connection.expiry(now, timeouts, is_short);
            let is_long = is_short && connection.occupancy(now).is_some();
            expiry.is_some() || is_long || connection.slow_since(now).is_some()
        })
    }

    /// Returns the shortages that have begun or ended since the last call.
    pub fn shortages(&mut self, now: Duration) -> Vec<Shortage> {
        let listeners = Listener::VARIANTS.iter().map(|&listener| {
            let capacity = self.capacity.connections(listener);
            let parts = (SHORT_CONNECTIONS, CALM_CONNECTIONS);
            let name = <&str>::from(listener);
            (name, self.connections(listener), capacity, parts)
        });
        let parts = (SHORT_BYTES, CALM_BYTES);
        let bytes = [
            ("bytes", self.bytes, self.capacity.bytes, parts),
            (
                "peer-bytes",
                self.peer_bytes,
                self.capacity.peer_bytes,
                parts,
            ),
        ];
        let resources: Vec<_> = listeners.chain(bytes).collect();
        let mut changes = Vec::new();
        for (resource, held, capacity, (short, calm)) in resources {
            let duration = match self.short_since.get(resource) {
                None if held >= part(capacity, short) => {
                    self.short_since.insert(resource, now);
                    None
                }
                Some(since) if held <= part(capacity, calm) => {
                    let duration = now.saturating_sub(*since);
                    self.short_since.remove(resource);
                    Some(duration)
                }
                _ => continue,
            };
            changes.push(Shortage {
                resource,
                held,
                capacity,
                duration,
            });
        }
        changes
    }

    /// Returns the connections without enough progress for a time of shortage, except `known`, in the
    /// order in which they are closed.
    fn slow(&self, now: Duration, known: &BTreeSet<Key>) -> Vec<(Key, &Connection)> {
        let mut slow: Vec<_> = self
            .connections
            .iter()
            .filter(|(key, _)| !known.contains(key))
            .filter_map(|(key, connection)| Some((connection.slow_since(now)?, *key, connection)))
            .collect();
        slow.sort_by_key(|(since, key, connection)| (connection.is_proven, *since, *key));
        slow.into_iter()
            .map(|(_, key, connection)| (key, connection))
            .collect()
    }

    /// Returns whether a listener's connections, or its bytes, run short.
    fn is_short(&self, listener: Listener) -> bool {
        let (bytes, capacity) = match listener {
            Listener::Peers => (self.peer_bytes, self.capacity.peer_bytes),
            _ => (self.bytes, self.capacity.bytes),
        };
        let connections = part(self.capacity.connections(listener), SHORT_CONNECTIONS);
        bytes >= part(capacity, SHORT_BYTES) || self.connections(listener) >= connections
    }

    fn bytes_mut(&mut self, listener: Listener) -> &mut usize {
        match listener {
            Listener::Peers => &mut self.peer_bytes,
            Listener::Callers | Listener::Probes => &mut self.bytes,
        }
    }

    fn end_head(&mut self, key: Key) {
        if let Some(connection) = self.connections.get_mut(&key) {
            let bytes = connection.end_head();
            self.release(key, bytes);
        }
    }

    fn enter(&mut self, key: Key, phase: Phase, now: Duration) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.enter(phase, now);
        }
    }
}

/// Returns some eighths of an amount.
fn part(amount: usize, eighths: usize) -> usize {
    amount / 8 * eighths + amount % 8 * eighths / 8
}
