use crate::node::Node;
use hyssop_model::work::{Configuration, Queue};
use hyssop_policy::account::{decide, Access, Bounds, Cause, Credential, Keys};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The keys of the configuration in force, and the limits within which they are accepted.
#[derive(Default)]
pub(crate) struct Gate {
    bounds: Bounds,
    keys: RefCell<Option<Rc<Keys>>>,
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
            keys: RefCell::default(),
        }
    }

    /// Applies a configuration.
    pub(crate) fn configure(&self, configuration: &Configuration) {
        *self.keys.borrow_mut() = Keys::of(configuration).map(Rc::new);
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
        let age = Some(Duration::ZERO);
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
