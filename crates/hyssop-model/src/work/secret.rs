use std::fmt;

/// A text that must not appear in logs.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Secret(String);

impl Secret {
    /// Wraps a text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret")
    }
}
