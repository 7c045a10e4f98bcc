use super::trust::{milliseconds, Trust};
use crate::node::Node;
use hyssop_model::work::{Configuration, Queue};
use hyssop_policy::account::{decide, Access, Bounds, Cause, Credential, Keys};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The keys of the configuration in force, and the limits within which they are accepted.
#[derive(Default)]
pub(crate) struct Keyring {
    bounds: Bounds,
    keys: RefCell<Option<Rc<Keys>>>,
    /// The newest version of the configuration's row that was read.
    readable_row: Cell<u64>,
    /// The newest version of the configuration's row that could not be read.
    unreadable_row: Cell<u64>,
    trust: Trust,
}

/// Why a request is denied; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// It presents no valid key.
    Unauthorized(Cause),
    /// The configuration is too old to decide about its key.
    Stale,
}

/// A request as far as its admission depends on it.
pub(crate) struct Caller {
    pub(crate) host: String,
    pub(crate) path: String,
    credential: Credential,
    /// The queue's name when the request arrived, for the log.
    queue: String,
    /// Whether its route allowed anonymous calls when it arrived.
    allows_anonymous: bool,
}

impl Keyring {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Applies a configuration.
    pub(crate) fn configure(&self, configuration: &Configuration) {
        *self.keys.borrow_mut() = Keys::of(configuration).map(Rc::new);
    }

    /// Records that version `version` of the configuration's row was read, or could not be.
    ///
    /// The row may be read out of order, since a peer's newer version is read beside the followed
    /// changes.
    pub(crate) fn on_row(&self, version: u64, is_readable: bool) {
        let newest = if is_readable {
            &self.readable_row
        } else {
            &self.unreadable_row
        };
        newest.set(newest.get().max(version));
    }

    /// Returns for how long a newer configuration may exist than the one in force, `None` if that is
    /// unknown or one exists that can't be read.
    pub(crate) fn age(node: &Node) -> Option<Duration> {
        if node.keyring.unreadable_row > node.keyring.readable_row {
            return None;
        }
        let (table, _) = node.dialect.configuration_row();
        let followed_at = node.store.followed_at(table)?;
        Some(node.clock.now().saturating_sub(followed_at))
    }

    /// Returns the age beyond which the configuration is not trusted, `None` if it always is.
    pub(crate) fn max_age(&self) -> Option<Duration> {
        self.bounds.max_age
    }

    /// Returns whether the process can decide about all callers: it needs no keys, or trusts its
    /// configuration.
    pub(crate) fn is_ready(&self, node: &Node) -> bool {
        let needs_keys = self.bounds.requires_accounts || self.keys.borrow().is_some();
        let age = Self::age(node);
        let is_ready = !needs_keys || self.bounds.trusts(age);
        self.trust.record(node, is_ready, age);
        is_ready
    }
}

impl Denial {
    /// Returns the reason for logs and metrics.
    fn reason(self) -> String {
        match self {
            Self::Unauthorized(cause) => cause.to_string(),
            Self::Stale => "stale-configuration".to_owned(),
        }
    }
}

impl Caller {
    /// Creates the caller of a request to `queue`.
    pub(crate) fn new(host: String, path: String, credential: Credential, queue: &Queue) -> Self {
        Self {
            host,
            path,
            credential,
            queue: queue.name.clone(),
            allows_anonymous: queue.allows_anonymous,
        }
    }

    /// Returns the caller's account by the configuration that is in force now, `None` if it needs none.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be passed on, which is counted and logged.
    pub(crate) fn admit(&self, node: &Node) -> Result<Option<String>, Denial> {
        let allows_anonymous = {
            let configuration = node.configuration.borrow();
            let queue = configuration.route(&self.host, &self.path);
            queue.map_or(self.allows_anonymous, |queue| queue.allows_anonymous)
        };
        let keys = node.keyring.keys.borrow().clone();
        let age = Keyring::age(node);
        let access = decide(
            keys.as_deref(),
            allows_anonymous,
            &self.credential,
            age,
            &node.keyring.bounds,
        );
        let denial = match access {
            Access::Account(account) => return Ok(Some(account.to_owned())),
            Access::Anonymous => return Ok(None),
            Access::Unauthorized(cause) => Denial::Unauthorized(cause),
            Access::Stale => Denial::Stale,
        };
        node.keyring.is_ready(node);
        self.record(node, denial, keys.as_deref(), age);
        Err(denial)
    }

    fn record(&self, node: &Node, denial: Denial, keys: Option<&Keys>, age: Option<Duration>) {
        let denials = &node.metrics.denials;
        denials.record(&denial.reason(), node.clock.now(), || {
            let digest = self.credential.digest();
            let account = digest.and_then(|digest| keys?.account(digest));
            format!(
                "host={:?} queue={} key={} account={:?} version={} age_ms={}",
                self.host,
                self.queue,
                digest.map_or_else(|| "none".to_owned(), ToString::to_string),
                account.unwrap_or_default(),
                node.configuration.borrow().version,
                milliseconds(age)
            )
        });
    }
}
