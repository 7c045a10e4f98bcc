use super::Digest;

/// The longest header value with a key, in bytes; keys are some dozens of bytes long.
pub const MAX_HEADER_BYTES: usize = 1_024;

/// What a caller presents to authenticate.
#[derive(Clone, Copy, Debug)]
pub enum Credential {
    /// No header.
    Missing,
    /// A header that holds no key, a longer one than [`MAX_HEADER_BYTES`], or several of them.
    Malformed,
    /// The digest of a key.
    Key(Digest),
}

impl Credential {
    /// Reads the values of all headers of a request that may hold a key; `parse` returns the key in a
    /// value.
    pub fn read<'a>(
        values: impl IntoIterator<Item = &'a [u8]>,
        parse: impl Fn(&'a [u8]) -> Option<&'a [u8]>,
    ) -> Self {
        let mut values = values.into_iter();
        let Some(value) = values.next() else {
            return Self::Missing;
        };
        if value.len() > MAX_HEADER_BYTES || values.next().is_some() {
            return Self::Malformed;
        }
        parse(value).map_or(Self::Malformed, |key| Self::Key(Digest::of(key)))
    }

    /// Returns the digest of the key, if one is presented.
    pub fn digest(&self) -> Option<&Digest> {
        match self {
            Self::Key(digest) => Some(digest),
            Self::Missing | Self::Malformed => None,
        }
    }
}
