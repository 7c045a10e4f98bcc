use hyssop_model::entry::Member;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The readiness of the entry for requests, or the reason why it is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Readiness {
    /// The entry accepts requests.
    Ready,
    /// The entry has no active configuration yet.
    NoConfiguration,
    /// The entry is not a member of the current epoch.
    NoEpoch,
    /// Neither the table service nor any peer has been reachable for longer than the limit.
    Isolated,
    /// The entry is stopping.
    Stopping,
}

/// The text of a configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ConfigText {
    pub(crate) number: u64,
    pub(crate) text: String,
}

/// State shared by the threads of the entry.
pub(crate) struct State {
    /// This entry, as the other entries see it.
    pub(crate) member: Member,
    /// The time without contact after which the entry is [`Readiness::Isolated`].
    isolation: Duration,
    is_stopping: AtomicBool,
    stored_version: AtomicU64,
    active_version: AtomicU64,
    is_member: AtomicBool,
    /// The time of the last response of the table service or frame of a peer.
    last_contact_at: Mutex<Instant>,
    /// The texts of the latest configuration versions, by number.
    config_texts: Mutex<BTreeMap<u64, String>>,
    is_handed_over: AtomicBool,
}

impl State {
    pub(crate) fn new(member: Member, isolation: Duration, now: Instant) -> Self {
        Self {
            member,
            isolation,
            is_stopping: AtomicBool::new(false),
            stored_version: AtomicU64::new(0),
            active_version: AtomicU64::new(0),
            is_member: AtomicBool::new(false),
            last_contact_at: Mutex::new(now),
            config_texts: Mutex::default(),
            is_handed_over: AtomicBool::new(false),
        }
    }

    /// Returns the readiness at `now`.
    pub(crate) fn readiness(&self, now: Instant) -> Readiness {
        if self.is_stopping() {
            Readiness::Stopping
        } else if self.active_version() == 0 {
            Readiness::NoConfiguration
        } else if !self.is_member() {
            Readiness::NoEpoch
        } else if now.saturating_duration_since(*lock(&self.last_contact_at)) > self.isolation {
            Readiness::Isolated
        } else {
            Readiness::Ready
        }
    }

    /// Returns whether the entry is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Marks the entry as stopping, which makes it not ready.
    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Records a response of the table service or a frame of a peer.
    pub(crate) fn record_contact(&self, now: Instant) {
        *lock(&self.last_contact_at) = now;
    }

    /// Returns whether this entry is a member of the current epoch.
    pub(crate) fn is_member(&self) -> bool {
        self.is_member.load(Ordering::SeqCst)
    }

    /// Sets whether this entry is a member of the current epoch.
    pub(crate) fn set_member(&self, is_member: bool) {
        self.is_member.store(is_member, Ordering::SeqCst);
    }

    /// Returns the highest configuration version that is stored, proposed or accepted.
    pub(crate) fn stored_version(&self) -> u64 {
        self.stored_version.load(Ordering::SeqCst)
    }

    /// Returns the active configuration version, or 0 if there is none.
    pub(crate) fn active_version(&self) -> u64 {
        self.active_version.load(Ordering::SeqCst)
    }

    /// Stores the text of a version, which may be accepted later.
    pub(crate) fn store_config(&self, config: ConfigText) {
        const MAX_STORED_VERSIONS: usize = 4;
        let mut config_texts = lock(&self.config_texts);
        self.stored_version
            .fetch_max(config.number, Ordering::SeqCst);
        config_texts.insert(config.number, config.text);
        while config_texts.len() > MAX_STORED_VERSIONS {
            config_texts.pop_first();
        }
    }

    /// Returns the text of a stored version.
    pub(crate) fn config_text(&self, number: u64) -> Option<String> {
        lock(&self.config_texts).get(&number).cloned()
    }

    /// Marks a version as active; a lower version than the active one is ignored.
    pub(crate) fn activate_config(&self, number: u64) {
        self.active_version.fetch_max(number, Ordering::SeqCst);
    }

    /// Returns whether the claims have been handed over, so that the entry may leave the
    /// membership.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.is_handed_over.load(Ordering::SeqCst)
    }

    /// Marks the claims as handed over.
    pub(crate) fn set_handed_over(&self) {
        self.is_handed_over.store(true, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
