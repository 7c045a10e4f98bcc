use super::{Bounds, Credential, Keys};
use std::time::Duration;
use strum::Display;

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access<'a> {
    /// The request is admitted for an account.
    Account(&'a str),
    /// The request is admitted without an account.
    Anonymous,
    /// The request presents no valid key.
    Unauthorized(Cause),
    /// The configuration is too old to decide about the request's key.
    Stale,
}

/// Why a request presents no valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// It presents none, and its route requires one.
    MissingKey,
    /// Its header holds no key.
    MalformedKey,
    /// No account has its key.
    UnknownKey,
    /// The configuration has no accounts although they are required.
    NoAccounts,
}

impl Cause {
    /// Returns the cause for the caller.
    pub fn message(self) -> &'static str {
        match self {
            Self::MissingKey => "it presents no key, and its route requires one",
            Self::MalformedKey => "it presents no well-formed key",
            Self::UnknownKey => "no account has its key",
            Self::NoAccounts => "the configuration has no accounts",
        }
    }
}

/// Decides about a request.
///
/// `keys` are those of the configuration in force, `None` if it has no accounts, and `age` is the time
/// as of which nothing newer is known, `None` if that is unknown.
pub fn decide<'a>(
    keys: Option<&'a Keys>,
    allows_anonymous: bool,
    credential: &Credential,
    age: Option<Duration>,
    bounds: &Bounds,
) -> Access<'a> {
    if keys.is_none() && !bounds.requires_accounts {
        return Access::Anonymous;
    }
    let digest = match credential {
        Credential::Missing if allows_anonymous => return Access::Anonymous,
        Credential::Missing => return Access::Unauthorized(Cause::MissingKey),
        Credential::Malformed => return Access::Unauthorized(Cause::MalformedKey),
        Credential::Key(digest) => digest,
    };
    // A newer configuration may have added the key or removed it.
    if !bounds.trusts(age) {
        return Access::Stale;
    }
    match keys.map(|keys| keys.account(digest)) {
        Some(Some(account)) => Access::Account(account),
        Some(None) => Access::Unauthorized(Cause::UnknownKey),
        None => Access::Unauthorized(Cause::NoAccounts),
    }
}
