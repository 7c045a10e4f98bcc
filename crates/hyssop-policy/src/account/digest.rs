use sha2::{Digest as _, Sha256};
use std::fmt;

const WORDS: usize = 4;

/// The SHA-256 digest of a key, in words: a request is compared with all keys of a deployment.
#[derive(Clone, Copy)]
pub struct Digest([u64; WORDS]);

impl Digest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let bytes: [u8; 32] = Sha256::digest(key).into();
        let mut words = [0; WORDS];
        for (word, part) in words.iter_mut().zip(bytes.chunks_exact(size_of::<u64>())) {
            *word = part
                .iter()
                .fold(0, |word, &byte| word << 8 | u64::from(byte));
        }
        Self(words)
    }

    /// Returns whether two digests are equal, in a time that does not depend on their bytes.
    pub fn is_equal(&self, other: &Self) -> bool {
        let words = self.0.iter().zip(&other.0);
        let difference = words.fold(0, |all, (left, right)| all | (left ^ right));
        // Without the barrier, the compiler may leave the loop at the first difference.
        std::hint::black_box(difference) == 0
    }
}

/// Shows the start only, which tell keys apart in logs.
impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        /// 32 bits: two of a thousand keys look alike in one of ten thousand deployments.
        const SHOWN_BITS: u32 = 32;
        let [first, ..] = self.0;
        write!(formatter, "{:08x}", first >> SHOWN_BITS)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
