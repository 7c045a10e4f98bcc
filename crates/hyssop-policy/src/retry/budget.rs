/// Permits retries up to a fraction of the requests.
///
/// Each request adds a fraction of a permit and each retry takes a whole one; permits beyond the
/// reserve are lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    permits: f64,
}

impl Budget {
    /// The permits that each request adds.
    pub const PER_REQUEST: f64 = 0.1;
    /// The most permits that are kept.
    pub const RESERVE: f64 = 10.0;

    /// Counts a request.
    pub fn earn(&mut self) {
        self.permits = (self.permits + Self::PER_REQUEST).min(Self::RESERVE);
    }

    /// Takes a permit for a retry, if there is one.
    pub fn spend(&mut self) -> bool {
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
