use crate::node::Node;
use hyssop_model::work::{Configuration, Queue};
use hyssop_policy::account::{decide, Access, Bounds, Cause, Credential, Keys};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The keys of the configuration in force, and the limits within which they are accepted.
#[derive(Default)]
pub(crate) struct Gate {
    bounds: Bounds,
    keys: RefCell<Option<Rc<Keys>>>,
    /// The newest version of the configuration's row that was read.
    readable_row: Cell<u64>,
    /// The newest version of the configuration's row that could not be read.
    unreadable_row: Cell<u64>,
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
    /// Whether its route allowed anonymous calls when it arrived.
    allows_anonymous: bool,
}

impl Gate {
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
    pub(crate) fn age(&self, node: &Node) -> Option<Duration> {
        if self.unreadable_row > self.readable_row {
            return None;
        }
        let (table, _) = node.dialect.configuration_row();
        let followed_at = node.store.followed_at(table)?;
        Some(node.clock.now().saturating_sub(followed_at))
    }

    /// Returns whether the process can decide about all callers: it needs no keys, or trusts its
    /// configuration.
    pub(crate) fn is_ready(&self, node: &Node) -> bool {
        let needs_keys = self.bounds.requires_accounts || self.keys.borrow().is_some();
        !needs_keys || self.bounds.trusts(self.age(node))
    }
}

impl Caller {
    /// Creates the caller of a request to `queue`.
    pub(crate) fn new(host: String, path: String, credential: Credential, queue: &Queue) -> Self {
        Self {
            host,
            path,
            credential,
            allows_anonymous: queue.allows_anonymous,
        }
    }

    /// Returns the caller's account by the configuration that is in force now, `None` if it needs none.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be passed on.
    pub(crate) fn admit(&self, node: &Node) -> Result<Option<String>, Denial> {
        let allows_anonymous = {
            let configuration = node.configuration.borrow();
            let queue = configuration.route(&self.host, &self.path);
            queue.map_or(self.allows_anonymous, |queue| queue.allows_anonymous)
        };
        let keys = node.gate.keys.borrow().clone();
        let age = node.gate.age(node);
        let bounds = &node.gate.bounds;
        let access = decide(
            keys.as_deref(),
            allows_anonymous,
            &self.credential,
            age,
            bounds,
        );
        match access {
            Access::Account(account) => Ok(Some(account.to_owned())),
            Access::Anonymous => Ok(None),
            Access::Unauthorized(cause) => Err(Denial::Unauthorized(cause)),
            Access::Stale => Err(Denial::Stale),
        }
    }
}
