use sha2::{Digest as _, Sha256};
use std::fmt;

/// The SHA-256 digest of a key.
#[derive(Clone, Copy)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns whether two digests are equal, in a time that does not depend on their bytes.
    pub fn is_equal(&self, other: &Self) -> bool {
        let differences = self.0.iter().zip(&other.0);
        let difference = differences.fold(0, |all, (left, right)| all | (left ^ right));
        // Without the barrier, the compiler may leave the loop at the first difference.
        std::hint::black_box(difference) == 0
    }
}

/// Shows the first bytes only, which tell keys apart in logs.
impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        /// 32 bits: two of a thousand keys look alike once in ten thousand deployments.
        const SHOWN_BYTES: usize = 4;
        let mut shown = self.0[..SHOWN_BYTES].iter();
        shown.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
