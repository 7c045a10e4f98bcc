//! The decision whether a request is admitted.

use hyssop_model::work::{Account, Configuration, Secret};
use hyssop_policy::account::{decide, Access, Bounds, Cause, Credential, Digest, Keys};
use std::time::Duration;

const REVOCATION: Duration = Duration::from_secs(5);
/// The longest age with which the configuration is trusted.
const TRUSTED: Duration = Duration::from_secs(3);

fn keys() -> Keys {
    let account = |name: &str, keys: &[&str]| Account {
        name: name.to_owned(),
        keys: keys.iter().copied().map(Secret::new).collect(),
        ..Account::default()
    };
    let accounts = [account("a", &["a1", "a2"]), account("b", &["b1"])];
    let accounts = accounts.map(|account| (account.name.clone(), account));
    let configuration = Configuration {
        accounts: Some(accounts.into()),
        ..Configuration::default()
    };
    Keys::of(&configuration).expect("accounts")
}

fn key(text: &str) -> Credential {
    Credential::Key(Digest::of(text.as_bytes()))
}

#[test]
fn access_follows_from_key_route_and_age() {
    let keys = keys();
    let strict = Bounds::new(true, true, REVOCATION);
    let lax = Bounds::new(true, false, REVOCATION);
    let optional = Bounds::new(false, true, REVOCATION);
    let (fresh, old) = (Some(TRUSTED), Some(TRUSTED + Duration::from_millis(1)));
    let (missing, malformed) = (Credential::Missing, Credential::Malformed);
    let denied = Access::Unauthorized;
    let (some, none) = (Some(&keys), None);
    for (number, (keys, anonymous, credential, age, bounds, expected)) in [
        // A configuration without accounts, where none are required.
        (none, false, &missing, old, &optional, Access::Anonymous),
        (none, false, &key("a1"), None, &optional, Access::Anonymous),
        (none, false, &malformed, old, &optional, Access::Anonymous),
        // A configuration without accounts, where they are required.
        (
            none,
            false,
            &missing,
            fresh,
            &strict,
            denied(Cause::MissingKey),
        ),
        (none, true, &missing, old, &strict, Access::Anonymous),
        (
            none,
            false,
            &key("a1"),
            fresh,
            &strict,
            denied(Cause::NoAccounts),
        ),
        (
            none,
            true,
            &key("a1"),
            fresh,
            &lax,
            denied(Cause::NoAccounts),
        ),
        (none, true, &key("a1"), old, &strict, Access::Stale),
        // Accounts, and a configuration that is trusted.
        (
            some,
            false,
            &key("a2"),
            fresh,
            &strict,
            Access::Account("a"),
        ),
        (
            some,
            true,
            &key("b1"),
            fresh,
            &optional,
            Access::Account("b"),
        ),
        (
            some,
            false,
            &key("c1"),
            fresh,
            &strict,
            denied(Cause::UnknownKey),
        ),
        (
            some,
            true,
            &key("c1"),
            fresh,
            &strict,
            denied(Cause::UnknownKey),
        ),
        (
            some,
            false,
            &missing,
            fresh,
            &strict,
            denied(Cause::MissingKey),
        ),
        (some, true, &missing, fresh, &strict, Access::Anonymous),
        (
            some,
            true,
            &malformed,
            fresh,
            &strict,
            denied(Cause::MalformedKey),
        ),
        // Accounts, and a configuration that is too old or of unknown age.
        (some, false, &key("a1"), old, &strict, Access::Stale),
        (some, false, &key("a1"), None, &strict, Access::Stale),
        (some, true, &key("c1"), old, &strict, Access::Stale),
        (some, true, &missing, None, &strict, Access::Anonymous),
        (
            some,
            false,
            &missing,
            old,
            &strict,
            denied(Cause::MissingKey),
        ),
        (
            some,
            true,
            &malformed,
            old,
            &strict,
            denied(Cause::MalformedKey),
        ),
        (some, false, &key("a1"), None, &lax, Access::Account("a")),
        (
            some,
            false,
            &key("c1"),
            old,
            &lax,
            denied(Cause::UnknownKey),
        ),
    ]
    .into_iter()
    .enumerate()
    {
        let access = decide(keys, anonymous, credential, age, bounds);
        assert_eq!(access, expected, "row {number}");
    }
}

/// A key in a log line would let its readers call as the account.
#[test]
fn debug_and_display_of_key_show_short_digest_only() {
    let digest = Digest::of(b"k-7f3a90c2");
    assert_eq!(digest.to_string().len(), 8);
    assert_eq!(format!("{digest:?}"), digest.to_string());
    assert!(!format!("{:?}", key("k-7f3a90c2")).contains("7f3a90c2"));
}
