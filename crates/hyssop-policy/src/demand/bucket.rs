use std::time::Instant;

/// Token bucket that limits the bytes of demand reports.
///
/// A report that exceeds the limit is delayed and then carries the demand of that time, so that
/// peers miss only intermediate states.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    bytes: f64,
    refilled_at: Option<Instant>,
}

impl Bucket {
    /// The rate at which the bucket refills, in bytes per second.
    pub const BYTES_PER_SECOND: f64 = 4000.0;
    /// The capacity of the bucket, in bytes.
    pub const BURST_BYTES: f64 = 8000.0;

    /// Consumes `bytes` from the bucket, or returns `false` if it holds fewer.
    pub fn try_acquire(&mut self, now: Instant, bytes: usize) -> bool {
        let elapsed = self
            .refilled_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.refilled_at = Some(now);
        self.bytes = (self.bytes + elapsed * Self::BYTES_PER_SECOND).min(Self::BURST_BYTES);
        let bytes = bytes as f64;
        if self.bytes < bytes {
            return false;
        }
        self.bytes -= bytes;
        true
    }
}

impl Default for Bucket {
    fn default() -> Self {
        Self {
            bytes: Self::BURST_BYTES,
            refilled_at: None,
        }
    }
}
