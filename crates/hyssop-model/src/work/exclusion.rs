use strum::Display;

/// An account of the operators' configuration that is left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exclusion {
    /// The account's name; empty if it has none.
    pub account: String,
    /// Why it is left out.
    pub reason: Reason,
}

/// Why an account is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// It can't be decoded.
    Malformed,
    /// It has no name.
    NoName,
    /// Another account has its name.
    DuplicateName,
    /// Another account has one of its keys.
    SharedKey,
    /// Its weight is not a number above 0.
    InvalidWeight,
    /// One of its limits is not a whole number from 0 on, or is out of range.
    InvalidQuota,
}
