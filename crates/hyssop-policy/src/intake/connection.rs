use super::{Listener, Reason};
use std::time::Duration;

/// The bytes of a head, or a frame, that a connection's own permit covers.
const COVERED_BYTES: usize = 16 * 1_024;
/// While permits run short, a connection must bring this much in [`SHORT_WINDOW`]: a caller within the
/// limits sends a request in a few packets.
const SHORT_BYTES: usize = 512;
pub(super) const SHORT_WINDOW: Duration = Duration::from_millis(500);
/// How long an incomplete request may hold bytes while they run short, whatever its progress: as long as
/// a caller waits by default.
const HOLD_GRACE: Duration = Duration::from_secs(3);
/// While permits run short, also a body that holds none must bring this much in [`BODY_WINDOW`], which is
/// longer than a caller waits by default, 3 s.
const BODY_BYTES: usize = 16;
const BODY_WINDOW: Duration = Duration::from_secs(5);
/// The longest time for a body, whatever its caller's deadline. Without a shortage a body may stop for as
/// long, and some time more, in which it is refused with the status for its deadline.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(60);
const CALM_WINDOW: Duration = BODY_TIMEOUT.saturating_add(BODY_WINDOW);
/// The time for a frame of a peer, which waits 1.2 s for the answer.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// The time in which a caller must take some of its responses; they fit into the system's buffers unless
/// it takes none.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The times of the operators' configuration.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// The time for a head, from its first byte.
    pub header: Duration,
    /// How long a connection may be without a request.
    pub idle: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of the next head or frame has arrived.
    Idle,
    /// A part of a head or frame has arrived.
    Head,
    /// A head has arrived, and its body is read.
    Body,
    /// The request is complete and may run.
    Serving,
    /// The response is written.
    Answering,
}

/// The last time at which enough bytes had arrived.
#[derive(Clone, Copy, Debug)]
struct Progress {
    at: Duration,
    bytes: usize,
}

impl Progress {
    fn record(&mut self, count: usize, minimum: usize, now: Duration) {
        self.bytes = self.bytes.saturating_add(count);
        if self.bytes >= minimum {
            *self = Self { at: now, bytes: 0 };
        }
    }
}

/// One connection, and what it holds.
#[derive(Clone, Debug)]
pub(super) struct Connection {
    pub(super) listener: Listener,
    pub(super) phase: Phase,
    /// When the phase began.
    since: Duration,
    /// The bytes of the head or frame that is being read.
    head: usize,
    /// The bytes for which it has permits.
    pub(super) held: usize,
    /// Those of them that are for the head or frame.
    head_held: usize,
    /// Whether one of its requests was answered with success, or one of its frames was valid.
    pub(super) is_proven: bool,
    /// Whether the response that is written tells of success.
    is_success: bool,
    short: Progress,
    body: Progress,
    blocked_since: Option<Duration>,
}

impl Connection {
    pub(super) fn new(listener: Listener, now: Duration) -> Self {
        let progress = Progress { at: now, bytes: 0 };
        Self {
            listener,
            phase: Phase::Idle,
            since: now,
            head: 0,
            held: 0,
            head_held: 0,
            is_proven: false,
            is_success: false,
            short: progress,
            body: progress,
            blocked_since: None,
        }
    }

    pub(super) fn enter(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.since = now;
        self.resume(now);
    }

    /// Measures progress from now on, after a pause that the caller has not caused.
    pub(super) fn resume(&mut self, now: Duration) {
        self.short = Progress { at: now, bytes: 0 };
        self.body = self.short;
    }

    /// Records bytes from the caller and returns for how many more of them a permit is needed.
    pub(super) fn receive(&mut self, count: usize, now: Duration) -> usize {
        if self.phase == Phase::Idle {
            self.enter(Phase::Head, now);
        }
        self.short.record(count, SHORT_BYTES, now);
        self.body.record(count, BODY_BYTES, now);
        if self.phase != Phase::Head {
            return 0;
        }
        self.head = self.head.saturating_add(count);
        self.head.saturating_sub(COVERED_BYTES + self.head_held)
    }

    /// Records a permit for bytes of the head.
    pub(super) fn hold_head(&mut self, bytes: usize) {
        self.head_held += bytes;
    }

    /// Ends the head, and returns how many of its bytes had a permit.
    pub(super) fn end_head(&mut self) -> usize {
        self.head = 0;
        std::mem::take(&mut self.head_held)
    }

    /// Records whether the caller takes what is written to it.
    pub(super) fn set_blocked(&mut self, is_blocked: bool, now: Duration) {
        self.blocked_since = is_blocked.then(|| self.blocked_since.unwrap_or(now));
    }

    /// Returns since when a connection makes too little progress for a time of shortage; `None` if it
    /// makes enough, or may not be closed because its request may run.
    pub(super) fn slow_since(&self, now: Duration) -> Option<Duration> {
        let is_incomplete = matches!(self.phase, Phase::Idle | Phase::Head | Phase::Body);
        let stopped_at = is_incomplete.then_some(self.short.at);
        let since = self.blocked_since.or(stopped_at)?;
        (now.saturating_sub(since) >= SHORT_WINDOW).then_some(since)
    }

    /// Records that a response is ready. A probe has no body that is read.
    pub(super) fn answer(&mut self, is_success: bool, now: Duration) {
        let is_complete = self.phase == Phase::Serving || self.listener == Listener::Probes;
        self.is_success = is_success && is_complete;
        self.enter(Phase::Answering, now);
    }

    /// Ends a response, once it is written.
    pub(super) fn end_answer(&mut self) {
        self.is_proven |= std::mem::take(&mut self.is_success);
    }

    /// Returns the bytes that an incomplete request holds, in byte-milliseconds; `None` if the request
    /// is complete, or within the time that each may take.
    pub(super) fn occupancy(&self, now: Duration) -> Option<u128> {
        let age = now.saturating_sub(self.since);
        let is_incomplete = matches!(self.phase, Phase::Head | Phase::Body);
        (is_incomplete && self.held > 0 && age >= HOLD_GRACE)
            .then(|| self.held as u128 * age.as_millis())
    }

    /// Returns why the connection must be closed, if it must whatever else is open; `is_short` says
    /// whether permits run short.
    pub(super) fn expiry(
        &self,
        now: Duration,
        timeouts: Timeouts,
        is_short: bool,
    ) -> Option<Reason> {
        let is_over = |since: Duration, limit: Duration| now.saturating_sub(since) >= limit;
        if self
            .blocked_since
            .is_some_and(|since| is_over(since, WRITE_TIMEOUT))
        {
            return Some(Reason::WriteTimeout);
        }
        let is_peer = self.listener == Listener::Peers;
        let header = if is_peer {
            FRAME_TIMEOUT
        } else {
            timeouts.header
        };
        match self.phase {
            // Links are closed by the process that opened them.
            Phase::Idle => {
                (!is_peer && is_over(self.since, timeouts.idle)).then_some(Reason::IdleTimeout)
            }
            Phase::Head => is_over(self.since, header).then_some(Reason::HeadTimeout),
            Phase::Body => {
                let window = if is_short { BODY_WINDOW } else { CALM_WINDOW };
                is_over(self.body.at, window).then_some(Reason::SlowBody)
            }
            Phase::Serving | Phase::Answering => None,
        }
    }
}
