use hyssop_model::entry::Member;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Says whether the entry takes requests, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Readiness {
    /// It takes requests.
    Ready,
    /// It knows no configuration yet.
    NoConfiguration,
    /// It is in no membership epoch yet.
    NoEpoch,
    /// It reached neither the table service nor any peer for too long.
    Isolated,
    /// It stops.
    Stopping,
}

/// Is a configuration that the entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    pub(crate) number: u64,
    pub(crate) text: String,
}

/// Is shared between the threads.
pub(crate) struct State {
    pub(crate) member: Member,
    isolation: Duration,
    is_stopping: AtomicBool,
    held: AtomicU64,
    in_force: AtomicU64,
    is_member: AtomicBool,
    contact: Mutex<Instant>,
    texts: Mutex<BTreeMap<u64, String>>,
    is_handed_over: AtomicBool,
}

impl State {
    pub(crate) fn new(member: Member, isolation: Duration, now: Instant) -> Self {
        Self {
            member,
            isolation,
            is_stopping: AtomicBool::new(false),
            held: AtomicU64::new(0),
            in_force: AtomicU64::new(0),
            is_member: AtomicBool::new(false),
            contact: Mutex::new(now),
            texts: Mutex::default(),
            is_handed_over: AtomicBool::new(false),
        }
    }

    pub(crate) fn readiness(&self, now: Instant) -> Readiness {
        if self.is_stopping() {
            Readiness::Stopping
        } else if self.in_force() == 0 {
            Readiness::NoConfiguration
        } else if !self.is_member() {
            Readiness::NoEpoch
        } else if now.saturating_duration_since(*lock(&self.contact)) > self.isolation {
            Readiness::Isolated
        } else {
            Readiness::Ready
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Notes that the table service or a peer answered.
    pub(crate) fn note_contact(&self, now: Instant) {
        *lock(&self.contact) = now;
    }

    /// Tells whether the present epoch has this entry as a member.
    pub(crate) fn is_member(&self) -> bool {
        self.is_member.load(Ordering::SeqCst)
    }

    pub(crate) fn set_member(&self, is_member: bool) {
        self.is_member.store(is_member, Ordering::SeqCst);
    }

    /// Returns the highest configuration version that is held.
    pub(crate) fn held(&self) -> u64 {
        self.held.load(Ordering::SeqCst)
    }

    /// Returns the configuration version in force.
    pub(crate) fn in_force(&self) -> u64 {
        self.in_force.load(Ordering::SeqCst)
    }

    /// Holds the text of a version, which may be accepted later.
    pub(crate) fn hold(&self, held: Held) {
        const KEPT_VERSIONS: usize = 4;
        let mut texts = lock(&self.texts);
        self.held.fetch_max(held.number, Ordering::SeqCst);
        texts.insert(held.number, held.text);
        while texts.len() > KEPT_VERSIONS {
            texts.pop_first();
        }
    }

    /// Returns the text of a held version.
    pub(crate) fn text(&self, number: u64) -> Option<String> {
        lock(&self.texts).get(&number).cloned()
    }

    /// Notes that a version is in force; lower versions have no effect.
    pub(crate) fn put_in_force(&self, number: u64) {
        self.in_force.fetch_max(number, Ordering::SeqCst);
    }

    /// Tells whether the claims were handed over, so that the entry may leave the membership.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.is_handed_over.load(Ordering::SeqCst)
    }

    pub(crate) fn note_handover(&self) {
        self.is_handed_over.store(true, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
