use super::{Guard, Hold};
use hyssop_policy::intake::{Key, Reason};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Tells a connection's task that it must end.
#[derive(Default)]
pub(super) struct Closer {
    reason: Cell<Option<Reason>>,
    notify: Notify,
}

impl Closer {
    pub(super) fn close(&self, reason: Reason) {
        self.reason.set(Some(reason));
        self.notify.notify_one();
    }
}

/// A connection's permit, given back when it is dropped.
pub(crate) struct Permit {
    guard: Rc<Guard>,
    key: Key,
    closer: Rc<Closer>,
    is_answering: Cell<bool>,
    is_blocked: Cell<bool>,
}

impl Permit {
    pub(super) fn new(guard: Rc<Guard>, key: Key, closer: Rc<Closer>) -> Self {
        Self {
            guard,
            key,
            closer,
            is_answering: Cell::new(false),
            is_blocked: Cell::new(false),
        }
    }

    /// Returns the guard that issued the permit.
    pub(crate) fn guard(&self) -> &Rc<Guard> {
        &self.guard
    }

    /// Waits until the connection must be closed.
    pub(crate) async fn revoked(&self) -> Reason {
        loop {
            self.closer.notify.notified().await;
            // A request may have arrived since.
            let reason = self.closer.reason.take();
            if let Some(reason) = reason.filter(|_| self.guard.is_due(self.key)) {
                self.guard.count(reason);
                return reason;
            }
        }
    }

    /// Records bytes that arrived.
    pub(super) fn receive(&self, count: usize) -> Result<(), Reason> {
        let guard = &self.guard;
        let received = guard.gate().receive(self.key, count, guard.now());
        received.inspect_err(|reason| guard.count(*reason))
    }

    /// Records that a head has arrived.
    pub(crate) fn begin(&self) {
        self.guard.gate().begin(self.key, self.guard.now());
    }

    /// Waits until some frames of the body may be parsed.
    pub(super) async fn turn(&self, frames: u32) {
        self.guard.turn(frames).await;
        self.guard.gate().resume(self.key, self.guard.now());
    }

    /// Records that a request is complete.
    pub(crate) fn serve(&self) {
        self.guard.gate().serve(self.key, self.guard.now());
    }

    /// Records that a response is ready, and whether it tells of success.
    pub(crate) fn answer(&self, is_success: bool) {
        self.is_answering.set(true);
        let now = self.guard.now();
        self.guard.gate().answer(self.key, is_success, now);
    }

    /// Records that all that was ready is written.
    pub(super) fn flush(&self) {
        if self.is_answering.take() {
            self.guard.gate().flush(self.key, self.guard.now());
        }
    }

    /// Records that the connection waits for its first request or frame.
    pub(crate) fn rest(&self) {
        self.guard.gate().rest(self.key, self.guard.now());
    }

    /// Records the end of a peer's frame.
    pub(crate) fn finish(&self) {
        self.guard.gate().finish(self.key, self.guard.now());
    }

    /// Records whether the caller takes what is written.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        if self.is_blocked.replace(is_blocked) != is_blocked {
            let now = self.guard.now();
            self.guard.gate().set_blocked(self.key, is_blocked, now);
        }
    }

    /// Takes a permit for bytes of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal if too few are left.
    pub(crate) fn hold(self: &Rc<Self>, bytes: usize) -> Result<Hold, Reason> {
        let mut hold = Hold::new(self.clone());
        hold.extend(bytes)?;
        Ok(hold)
    }

    pub(super) fn take(&self, bytes: usize) -> Result<(), Reason> {
        let taken = self.guard.gate().hold(self.key, bytes);
        taken.inspect_err(|reason| self.guard.count(*reason))
    }

    pub(super) fn release(&self, bytes: usize) {
        self.guard.gate().release(self.key, bytes);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.guard.close(self.key);
    }
}
