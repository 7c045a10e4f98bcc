use super::Digest;
use hyssop_model::work::Configuration;

/// The keys of all accounts of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    /// The names of the accounts.
    accounts: Vec<String>,
    /// The digests of the keys, each with the position of its account.
    digests: Vec<(Digest, usize)>,
}

impl Keys {
    /// Returns the keys of a configuration, `None` if it has no accounts.
    pub fn of(configuration: &Configuration) -> Option<Self> {
        let accounts = configuration.accounts.as_ref()?;
        let mut keys = Self::default();
        for (position, account) in accounts.values().enumerate() {
            keys.accounts.push(account.name.clone());
            let digests = account.keys.iter();
            let digests = digests.map(|key| Digest::of(key.expose().as_bytes()));
            keys.digests
                .extend(digests.map(|digest| (digest, position)));
        }
        Some(keys)
    }

    /// Returns the account that a key belongs to.
    ///
    /// All keys are compared whichever matches, so the time tells nothing about them.
    pub fn account(&self, key: &Digest) -> Option<&str> {
        let mut found = None;
        for (digest, position) in &self.digests {
            if digest.is_equal(key) {
                found = Some(*position);
            }
        }
        self.accounts.get(found?).map(String::as_str)
    }
}
