use hyssop_model::entry;
use hyssop_model::hash;
use std::fmt;
use std::str::FromStr;
use uuid::Uuid;

/// An idempotency key sent by a caller, in one of two forms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// A key minted by an entry, which is its home: `b1.HOME.MS.RANDOM`, in hexadecimal.
    Bound {
        /// The home's incarnation.
        home: entry::Id,
        /// When it was minted, in milliseconds of the home's wall clock.
        minted_ms: u64,
        /// Distinguishes keys minted in the same millisecond.
        random: u64,
    },
    /// A key minted by the caller: a UUIDv7 of RFC 9562, section 5.7.
    Unbound {
        /// When it was minted, in milliseconds of the caller's wall clock.
        minted_ms: u64,
    },
}

impl Key {
    /// Returns when the key was minted, in milliseconds of the minter's wall clock.
    pub fn minted_ms(&self) -> u64 {
        match self {
            Self::Bound { minted_ms, .. } | Self::Unbound { minted_ms } => *minted_ms,
        }
    }
}

/// The error of parsing a text that is not a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl FromStr for Key {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        if let Some(rest) = text.strip_prefix("b1.") {
            return parse_bound(rest).ok_or(Malformed);
        }
        const TIME_ORDERED_VERSION: usize = 7;
        let uuid = Uuid::parse_str(text).map_err(|_| Malformed)?;
        if uuid.get_version_num() != TIME_ORDERED_VERSION {
            return Err(Malformed);
        }
        const BITS_BELOW_TIMESTAMP: u32 = 80;
        Ok(Self::Unbound {
            minted_ms: (uuid.as_u128() >> BITS_BELOW_TIMESTAMP) as u64,
        })
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bound {
                home,
                minted_ms,
                random,
            } => write!(f, "b1.{home}.{minted_ms:x}.{random:x}"),
            Self::Unbound { minted_ms } => write!(f, "unbound key minted at {minted_ms} ms"),
        }
    }
}

fn parse_bound(rest: &str) -> Option<Key> {
    let mut parts = rest.split('.');
    let home = parts.next()?.parse().ok()?;
    let minted_ms = u64::from_str_radix(parts.next()?, 16).ok()?;
    let random = u64::from_str_radix(parts.next()?, 16).ok()?;
    match parts.next() {
        Some(_) => None,
        None => Some(Key::Bound {
            home,
            minted_ms,
            random,
        }),
    }
}

/// Returns which of `members` is the home of a key.
pub(super) fn home_among(key: &str, members: impl Iterator<Item = entry::Id>) -> Option<entry::Id> {
    let nodes = members.map(|id| (id.0, 1.0));
    hash::owner(key.as_bytes(), nodes).map(entry::Id)
}
