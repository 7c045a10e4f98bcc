use std::time::Duration;

/// Silence for this long makes a process suspect: others are asked whether they reach it.
const SUSPECT_AFTER: Duration = Duration::from_millis(300);
/// The interval between requests to others while a process is suspect.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// How long another process's word that it reaches the suspect one is valid.
const CONFIRMATION_TTL: Duration = Duration::from_millis(700);
/// The additional wait of a process that none of the others answers, since it may itself be
/// partitioned from the network.
const ISOLATION_PAUSE: Duration = Duration::from_secs(3);

/// What is believed of a watched process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answers, has been silent for a short time only, or is reached by others.
    Alive,
    /// It neither answers nor is reached by others.
    Lost,
}

/// The watch that one process keeps on another, from heartbeats and from the word of others.
///
/// A process is lost only if it is silent towards the watcher and nobody else reaches it, so a
/// one-way partition between two processes or a link that loses packets changes no owner.
#[derive(Clone, Debug)]
pub struct Watch {
    /// The silence after which the process may count as lost.
    timeout: Duration,
    last_heard_at: Duration,
    /// When others were last asked.
    probed_at: Option<Duration>,
    /// When another process last reached the watched one.
    reached_at: Option<Duration>,
    /// When another process last answered, whatever its answer.
    answered_at: Option<Duration>,
}

impl Watch {
    /// The silence after which a watched process may count as lost; nearly three heartbeats.
    pub const TIMEOUT: Duration = Duration::from_millis(700);
    /// The same for a process that another one has reported as unreachable, until it is heard.
    pub const REPORTED_TIMEOUT: Duration = Duration::from_millis(300);

    /// Starts a watch at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            timeout: Self::TIMEOUT,
            last_heard_at: now,
            probed_at: None,
            reached_at: None,
            answered_at: None,
        }
    }

    /// Starts a watch at `now` on a process that another one reports as unreachable.
    pub fn reported(now: Duration) -> Self {
        Self {
            timeout: Self::REPORTED_TIMEOUT,
            // The report is that process's own answer.
            answered_at: Some(now),
            ..Self::new(now)
        }
    }

    /// Records that the process was heard at `at`, which refutes a report.
    pub fn on_heard(&mut self, at: Duration) {
        if at > self.last_heard_at {
            self.last_heard_at = at;
            // The timeout of a report is not much longer than the pause between two heartbeats.
            self.timeout = Self::TIMEOUT;
            self.probed_at = None;
            self.reached_at = None;
            self.answered_at = None;
        }
    }

    /// Records another process's answer on whether it reaches the watched one.
    pub fn on_probe_answer(&mut self, is_reached: bool, now: Duration) {
        self.answered_at = Some(now);
        if is_reached {
            self.reached_at = Some(now);
        }
    }

    /// Returns whether others must be asked now; the caller asks them if so.
    pub fn take_probe(&mut self, now: Duration) -> bool {
        let is_due = self.silence(now) >= SUSPECT_AFTER.min(self.timeout / 2)
            && self
                .probed_at
                .is_none_or(|at| now.saturating_sub(at) >= PROBE_INTERVAL);
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    /// Returns what is believed at `now`.
    pub fn verdict(&self, now: Duration) -> Verdict {
        let silence = self.silence(now);
        let is_confirmed = self
            .reached_at
            .is_some_and(|at| now.saturating_sub(at) < CONFIRMATION_TTL);
        let is_isolated = self.answered_at.is_none() && silence < self.timeout + ISOLATION_PAUSE;
        if silence < self.timeout || is_confirmed || is_isolated {
            Verdict::Alive
        } else {
            Verdict::Lost
        }
    }

    /// Returns whether the watcher itself has heard nothing for the timeout, whatever others say.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.silence(now) >= self.timeout
    }

    fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_heard_at)
    }
}
