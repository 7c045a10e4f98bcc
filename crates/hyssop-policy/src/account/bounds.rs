use std::time::Duration;

/// The share of the time until a withdrawn key must not work for which a configuration is trusted.
///
/// The rest covers the error of the age, and the time from a request's arrival to its decision.
const TRUST_SHARE: f64 = 0.6;

/// The limits of a deployment within which keys are accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bounds {
    /// Whether callers need a key even if the configuration has no accounts.
    pub requires_accounts: bool,
    /// The age beyond which the configuration decides about no key; `None` if it always does.
    pub max_age: Option<Duration>,
}

impl Bounds {
    /// Returns the limits of a deployment in which a withdrawn key must not work after `revocation`
    /// on any instance if `is_strict`, and only on those that reach the store otherwise.
    pub fn new(requires_accounts: bool, is_strict: bool, revocation: Duration) -> Self {
        Self {
            requires_accounts,
            max_age: is_strict.then(|| revocation.mul_f64(TRUST_SHARE)),
        }
    }

    /// Returns whether a configuration of this age decides about keys; `None` is an unknown age.
    pub fn trusts(&self, age: Option<Duration>) -> bool {
        self.max_age
            .is_none_or(|max_age| age.is_some_and(|age| age <= max_age))
    }
}
