use super::Keyring;
use crate::node::Node;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The interval between checks while the configuration is not trusted.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether the configuration was trusted when that was checked last, for the log.
#[derive(Default)]
pub(super) struct Trust {
    /// Nothing is logged before the configuration was trusted for the first time.
    was_trusted: Cell<bool>,
    ended_at: Cell<Option<Duration>>,
}

impl Trust {
    /// Logs when the trust in the configuration ends and returns.
    pub(super) fn record(&self, node: &Node, is_trusted: bool, age: Option<Duration>) {
        let now = node.clock.now();
        let version = node.configuration.borrow().version;
        if is_trusted {
            self.was_trusted.set(true);
            if let Some(ended_at) = self.ended_at.take() {
                let elapsed = now.saturating_sub(ended_at).as_millis();
                log::info!(
                    "event=configuration-trust trusted=true version={version} after_ms={elapsed}"
                );
            }
        } else if self.was_trusted.get() && self.ended_at.get().is_none() {
            self.ended_at.set(Some(now));
            let cause = if age.is_some() { "age" } else { "unreadable" };
            log::warn!(
                "event=configuration-trust trusted=false cause={cause} version={version} age_ms={}",
                milliseconds(age)
            );
        }
    }
}

/// Returns an age for the log.
pub(super) fn milliseconds(age: Option<Duration>) -> String {
    age.map_or_else(|| "unknown".to_owned(), |age| age.as_millis().to_string())
}

/// Checks whether the configuration is trusted each time that this may have changed, so that the log
/// shows it without any caller.
pub(crate) async fn watch_trust(node: Rc<Node>) {
    let Some(max_age) = node.keyring.max_age() else {
        return;
    };
    loop {
        let left = match Keyring::age(&node) {
            Some(age) if node.keyring.is_ready(&node) => max_age.saturating_sub(age),
            _ => Duration::ZERO,
        };
        tokio::time::sleep(left.max(CHECK_INTERVAL)).await;
    }
}
