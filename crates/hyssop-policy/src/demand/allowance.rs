use std::time::Instant;

/// Bounds the bytes of demand reports: a token bucket.
///
/// Demand that changes faster than the allowance is told later and as it is then, so nothing is
/// lost but time.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    bytes: f64,
    refilled: Option<Instant>,
}

impl Allowance {
    /// The bytes a second that reports may take.
    pub const BYTES_PER_SECOND: f64 = 4000.0;
    /// The most bytes that are kept for a burst.
    pub const BURST_BYTES: f64 = 8000.0;

    /// Takes the bytes of a report, if they are there.
    pub fn take(&mut self, now: Instant, bytes: usize) -> bool {
        let elapsed = self
            .refilled
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.refilled = Some(now);
        self.bytes = (self.bytes + elapsed * Self::BYTES_PER_SECOND).min(Self::BURST_BYTES);
        let bytes = bytes as f64;
        if self.bytes < bytes {
            return false;
        }
        self.bytes -= bytes;
        true
    }
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            bytes: Self::BURST_BYTES,
            refilled: None,
        }
    }
}
