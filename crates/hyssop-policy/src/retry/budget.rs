/// A budget that limits retries to a fraction of the requests.
///
/// Each request adds a fraction of a permit and each retry uses a whole one. Permits beyond the
/// reserve are discarded.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    permits: f64,
}

impl Budget {
    /// The permits that each request adds.
    pub const PER_REQUEST: f64 = 0.1;
    /// The maximum number of permits.
    pub const RESERVE: f64 = 10.0;

    /// Adds the permits for a request.
    pub fn on_request(&mut self) {
        self.permits = (self.permits + Self::PER_REQUEST).min(Self::RESERVE);
    }

    /// Acquires a permit for a retry and returns whether one was available.
    pub fn try_acquire(&mut self) -> bool {
        if self.permits < 1.0 {
            return false;
        }
        self.permits -= 1.0;
        true
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            permits: Self::RESERVE,
        }
    }
}
