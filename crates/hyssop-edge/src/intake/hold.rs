use super::Permit;
use hyssop_policy::intake::Reason;
use std::rc::Rc;

/// A permit for bytes of a request, given back when it is dropped.
pub(crate) struct Hold {
    permit: Rc<Permit>,
    bytes: usize,
}

impl Hold {
    pub(super) fn new(permit: Rc<Permit>) -> Self {
        Self { permit, bytes: 0 }
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes a permit for more bytes.
    pub(super) fn extend(&mut self, bytes: usize) -> Result<(), Reason> {
        self.permit.take(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Gives back all but `bytes`.
    pub(super) fn shrink(&mut self, bytes: usize) {
        self.permit.release(self.bytes.saturating_sub(bytes));
        self.bytes = self.bytes.min(bytes);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.permit.release(self.bytes);
    }
}
