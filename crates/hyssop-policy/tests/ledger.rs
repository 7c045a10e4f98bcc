//! The division of quotas into grants: single scenarios, and random ones with late and lost writes.

#[path = "model/grants.rs"]
mod grants;

use grants::Table;
use hyssop_model::work::{Account, Resources};
use hyssop_policy::account::ledger::{
    share, targets, Claim, Ledger, Outcome, Usage, Wait, Write, WHOLE,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

const ACCOUNT: &str = "acme";

fn cpu(cpu: u64) -> Resources {
    Resources {
        cpu,
        ..Resources::default()
    }
}

fn accounts(quota: u64) -> BTreeMap<String, Account> {
    let account = Account {
        name: ACCOUNT.to_owned(),
        weight: 1.0,
        quota: cpu(quota),
        ..Account::default()
    };
    BTreeMap::from([(ACCOUNT.to_owned(), account)])
}

fn usage(held: u64, waiting: u64, unit: u64) -> Usage {
    Usage {
        held: cpu(held),
        waiting: cpu(waiting),
        unit: cpu(unit),
        ..Usage::default()
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a ledger that has read the table.
fn ledger(pool: &str, term: u64, quota: u64, table: &Table) -> Ledger {
    let mut ledger = Ledger::new(pool, term);
    ledger.configure(1, Some(&accounts(quota)));
    ledger.apply_all(table.rows(), ms(0));
    ledger
}

fn next(ledger: &mut Ledger, usage: Usage, at: u64) -> Option<Vec<Write>> {
    ledger.next_writes(&BTreeMap::from([(ACCOUNT.to_owned(), usage)]), ms(at))
}

/// Writes what a ledger needs, if anything.
fn write(ledger: &mut Ledger, usage: Usage, table: &mut Table, at: u64) -> bool {
    let Some(writes) = next(ledger, usage, at) else {
        return false;
    };
    let outcome = table.commit(&writes);
    ledger.on_outcome(outcome, ms(at));
    true
}

fn hard(ledger: &Ledger, usage: Usage) -> u64 {
    ledger
        .allowance(ACCOUNT, &usage, ms(60_000))
        .expect("a quota")
        .hard
}

fn soft(ledger: &Ledger, usage: Usage) -> u64 {
    ledger
        .allowance(ACCOUNT, &usage, ms(60_000))
        .expect("a quota")
        .soft
}

#[test]
fn share_is_largest_of_limited_resources() {
    let quota = Resources {
        cpu: 4_000,
        memory: 1_000,
        accelerators: 0,
    };
    let amount = Resources {
        cpu: 1_000,
        memory: 500,
        accelerators: 9,
    };
    assert_eq!(share(&amount, &quota), 500_000);
    assert_eq!(share(&cpu(2), &cpu(3)), 666_666, "rounded down");
    assert_eq!(share(&cpu(1), &cpu(u64::MAX)), 1, "but not to nothing");
    assert_eq!(share(&cpu(u64::MAX), &cpu(1)), u64::MAX);
}

#[test]
fn targets_give_needs_and_equal_rest_or_turns_and_max_min() {
    let claim = |need, unit, served| Claim { need, unit, served };
    let fits = BTreeMap::from([("a", claim(300_000, 1, 0)), ("b", claim(100_000, 1, 0))]);
    assert_eq!(targets(&fits)["a"], 600_000);
    let scarce = BTreeMap::from([
        ("a", claim(WHOLE, 100_000, 0)),
        ("b", claim(200_000, 100_000, 0)),
        ("c", claim(WHOLE, 100_000, 0)),
    ]);
    let parts = targets(&scarce);
    assert_eq!(
        (parts["a"], parts["b"], parts["c"]),
        (400_000, 200_000, 400_000)
    );
    let turns = BTreeMap::from([
        ("a", claim(WHOLE, WHOLE, 5)),
        ("b", claim(WHOLE, WHOLE, 3)),
        ("c", claim(WHOLE, WHOLE, 4)),
    ]);
    let parts = targets(&turns);
    assert_eq!((parts["a"], parts["b"], parts["c"]), (0, WHOLE, 0));
}

/// Two owners that saw the same free quota would each have taken it.
#[test]
fn second_of_two_raises_at_the_same_moment_gets_what_is_left() {
    let mut table = Table::default();
    let mut a = ledger("a", 1, 10, &table);
    let mut b = ledger("b", 1, 10, &table);
    let (needs_a, needs_b) = (usage(0, 8, 1), usage(0, 6, 1));
    let first = next(&mut a, needs_a, 0).expect("a write");
    let second = next(&mut b, needs_b, 0).expect("a write");
    assert_eq!(hard(&a, needs_a), 0, "not written yet");
    let outcome = table.commit(&first);
    a.on_outcome(outcome, ms(6));
    let outcome = table.commit(&second);
    b.on_outcome(outcome, ms(6));
    assert_eq!(hard(&a, needs_a), WHOLE);
    assert_eq!(hard(&b, needs_b), 0);
    assert!(write(&mut b, needs_b, &mut table, 30), "its need");
    a.apply(table.rows(), ms(40));
    assert_eq!(
        soft(&a, needs_a),
        500_000,
        "no further start beyond its part"
    );
    assert!(
        write(&mut a, needs_a, &mut table, 110),
        "lowers and passes on"
    );
    b.apply(table.rows(), ms(115));
    assert_eq!(
        hard(&b, needs_b),
        500_000,
        "two writes after the need arose"
    );
}

/// The answer to a write named the version of another owner's later write, and the next write, which
/// depended on it, overwrote that owner's raise.
#[test]
fn version_of_an_answer_is_no_condition_of_the_next_write() {
    let mut table = Table::default();
    let mut a = ledger("a", 1, 10, &table);
    let mut b = ledger("b", 1, 10, &table);
    assert!(write(&mut a, usage(0, 5, 1), &mut table, 0));
    b.apply(table.rows(), ms(5));
    assert!(write(&mut b, usage(0, 5, 1), &mut table, 5));
    a.apply(table.rows(), ms(10));
    assert!(write(&mut a, usage(0, 5, 1), &mut table, 110));
    for ledger in [&mut a, &mut b] {
        ledger.apply(table.rows(), ms(115));
        ledger.configure(2, Some(&accounts(20)));
    }
    // Each has a quarter of the raised quota.
    let writes = next(&mut a, usage(0, 6, 1), 300).expect("a write");
    let outcome = table.commit(&writes);
    b.apply(table.rows(), ms(302));
    assert!(write(&mut b, usage(0, 6, 1), &mut table, 302));
    let raised = table.read(ACCOUNT).pools["b"].grant;
    assert!(raised > 250_000);
    a.on_outcome(table.late_answer(outcome), ms(306));
    assert!(hard(&a, usage(0, 6, 1)) > 250_000, "usable at once");
    let needs = usage(0, 16, 1);
    let has_written = write(&mut a, needs, &mut table, 1_200);
    assert_eq!(table.read(ACCOUNT).pools["b"].grant, raised);
    assert!(!has_written, "the row has not come back");
    // Without the feed, a write that can't take effect brings the row.
    assert!(write(&mut a, needs, &mut table, 1_310));
    assert_eq!(table.read(ACCOUNT).pools["b"].grant, raised);
    assert!(write(&mut a, needs, &mut table, 1_500));
    let row = table.read(ACCOUNT);
    assert_eq!(row.pools["b"].grant, raised);
    assert_eq!(row.pools["a"].need, 800_000);
    assert!(row.sum(&cpu(20)) <= WHOLE);
}

/// An owner that lowered its grant without an answer went on starting up to the former one, while others
/// had taken what it gave up.
#[test]
fn lower_of_two_grants_counts_while_write_is_in_doubt() {
    let mut table = Table::default();
    let mut a = ledger("a", 1, 10, &table);
    let mut b = ledger("b", 1, 10, &table);
    assert!(write(&mut a, usage(0, 10, 1), &mut table, 0));
    b.apply(table.rows(), ms(10));
    assert!(write(&mut b, usage(0, 10, 1), &mut table, 10));
    a.apply(table.rows(), ms(20));
    let late = next(&mut a, usage(2, 8, 1), 120).expect("a lower grant");
    assert_eq!(
        hard(&a, usage(2, 8, 1)),
        500_000,
        "may be carried out at any time"
    );
    a.on_outcome(Outcome::Lost, ms(200));
    a.apply(table.rows(), ms(210));
    assert_eq!(
        hard(&a, usage(2, 8, 1)),
        500_000,
        "may still be carried out"
    );
    // A further write settles it, and the late one has no effect any more.
    let again = next(&mut a, usage(2, 0, 0), 900).expect("a write");
    let outcome = table.commit(&again);
    a.on_outcome(outcome, ms(906));
    assert!(matches!(table.commit(&late), Outcome::Conflict(_)));
}

/// A write of the previous owner that arrives late would have lowered the grant under its successor.
#[test]
fn successor_uses_grant_only_once_it_has_written_its_term() {
    let mut table = Table::default();
    let mut old = ledger("a", 1, 10, &table);
    assert!(write(&mut old, usage(0, 10, 1), &mut table, 0));
    let mut other = ledger("b", 1, 10, &table);
    assert!(write(&mut other, usage(0, 4, 1), &mut table, 0));
    old.apply(table.rows(), ms(10));
    let late = next(&mut old, usage(1, 0, 0), 120).expect("a lower grant");
    let mut new = ledger("a", 2, 10, &table);
    let needs = usage(6, 2, 1);
    assert_eq!(hard(&new, needs), 0);
    let wait = new
        .allowance(ACCOUNT, &needs, ms(0))
        .map(|allowance| allowance.wait);
    assert_eq!(wait, Some(Wait::NoGrant));
    assert!(write(&mut new, needs, &mut table, 130));
    assert!(
        hard(&new, needs) >= 600_000,
        "it has its predecessor's grant"
    );
    assert!(matches!(table.commit(&late), Outcome::Conflict(_)));
}

#[test]
fn lowered_quota_stops_starts_until_grants_are_lowered() {
    let mut table = Table::default();
    let mut a = ledger("a", 1, 10, &table);
    let mut b = ledger("b", 1, 10, &table);
    let needs = usage(5, 5, 1);
    assert!(write(&mut a, usage(0, 5, 1), &mut table, 0));
    b.apply(table.rows(), ms(5));
    assert!(write(&mut b, needs, &mut table, 5));
    a.apply(table.rows(), ms(10));
    for ledger in [&mut a, &mut b] {
        ledger.configure(2, Some(&accounts(4)));
        assert_eq!(hard(ledger, needs), 0, "both hold more than the quota");
    }
    // The tasks of one pool end.
    let mut at = 200;
    for _ in 0..8 {
        at += 110;
        a.apply(table.rows(), ms(at));
        write(&mut a, usage(5, 0, 0), &mut table, at);
        b.apply(table.rows(), ms(at));
        write(&mut b, usage(0, 1, 1), &mut table, at);
    }
    assert_eq!(hard(&a, usage(5, 0, 0)), 0);
    assert_eq!(hard(&b, usage(0, 1, 1)), 0, "the other pool holds it all");
    for _ in 0..8 {
        at += 110;
        a.apply(table.rows(), ms(at));
        write(&mut a, usage(1, 0, 0), &mut table, at);
        b.apply(table.rows(), ms(at));
        write(&mut b, usage(0, 1, 1), &mut table, at);
    }
    assert!(hard(&b, usage(0, 1, 1)) >= 250_000);
}

#[test]
fn owner_with_older_configuration_starts_and_writes_nothing() {
    let mut table = Table::default();
    let mut a = ledger("a", 1, 10, &table);
    let mut b = ledger("b", 1, 10, &table);
    assert!(write(&mut a, usage(0, 1, 1), &mut table, 0));
    b.configure(2, Some(&accounts(3)));
    b.apply(table.rows(), ms(1));
    assert!(write(&mut b, usage(0, 1, 1), &mut table, 1));
    a.apply(table.rows(), ms(200));
    assert_eq!(hard(&a, usage(0, 1, 1)), 0);
    assert_eq!(a.newest_version(), 2);
    assert!(!write(&mut a, usage(0, 9, 1), &mut table, 2_000));
}

#[test]
fn account_that_left_the_configuration_keeps_its_last_quota() {
    let mut table = Table::default();
    let mut a = ledger("a", 1, 10, &table);
    assert!(write(&mut a, usage(0, 2, 1), &mut table, 0));
    a.configure(2, Some(&BTreeMap::new()));
    assert_eq!(a.quota(ACCOUNT), Some(cpu(10)));
    // A successor knows it from the row only.
    let mut next = Ledger::new("a", 2);
    next.configure(2, Some(&BTreeMap::new()));
    next.apply_all(table.rows(), ms(0));
    assert_eq!(next.quota(ACCOUNT), Some(cpu(10)));
    next.configure(3, Some(&accounts(6)));
    assert_eq!(next.quota(ACCOUNT), Some(cpu(6)));
    next.configure(4, None);
    assert_eq!(next.quota(ACCOUNT), None, "no accounts, no quotas");
}

/// A process with a newer configuration accepted a job of an account that its pool's owner did not know.
#[test]
fn unknown_account_starts_nothing_while_the_configuration_may_be_behind() {
    let table = Table::default();
    let mut a = ledger("a", 1, 10, &table);
    let wait = |a: &Ledger, at| {
        a.allowance("new", &usage(0, 1, 1), ms(at))
            .map(|known| known.wait)
    };
    a.meet("new", ms(100));
    assert_eq!(wait(&a, 2_000), Some(Wait::UnknownAccount));
    assert_eq!(wait(&a, 3_200), None, "it has left the configuration");
}

/// Tasks that started without a limit are in no grant, so that others took the whole quota.
#[test]
fn limit_on_running_tasks_is_written_before_grants_are_raised() {
    let mut table = Table::default();
    let mut a = ledger("a", 1, 0, &table);
    let mut b = ledger("b", 1, 0, &table);
    a.configure(2, Some(&accounts(10)));
    b.configure(2, Some(&accounts(10)));
    assert!(write(&mut b, usage(0, 5, 1), &mut table, 0));
    assert_eq!(
        hard(&b, usage(0, 5, 1)),
        0,
        "others may hold what they have not written"
    );
    a.apply(table.rows(), ms(10));
    assert!(write(&mut a, usage(9, 0, 0), &mut table, 20));
    b.apply(table.rows(), ms(30));
    assert!(write(&mut b, usage(0, 5, 1), &mut table, 2_000));
    assert_eq!(hard(&b, usage(0, 5, 1)), 100_000);
}

#[test]
fn unreadable_rows_grant_nothing() {
    let mut table = Table::default();
    for value in [&b"\xff\x00"[..], b"", b"\xa1", &[0x18; 70_000]] {
        table.put(ACCOUNT, value);
        let mut a = ledger("a", 1, 10, &table);
        assert_eq!(hard(&a, usage(0, 1, 1)), 0);
        let wait = a
            .allowance(ACCOUNT, &usage(0, 1, 1), ms(0))
            .map(|known| known.wait);
        assert_eq!(wait, Some(Wait::Unreadable));
        // It is replaced, and others have the time to write what they hold before grants are raised.
        assert!(write(&mut a, usage(0, 1, 1), &mut table, 0));
        assert_eq!(hard(&a, usage(0, 1, 1)), 0);
        a.apply(table.rows(), ms(10));
        assert!(write(&mut a, usage(0, 1, 1), &mut table, 2_000));
        assert_eq!(hard(&a, usage(0, 1, 1)), WHOLE);
    }
}

/// An account that had left the configuration became unlimited when its row could not be read.
#[test]
fn unreadable_row_of_account_outside_the_configuration_keeps_its_tasks_waiting() {
    let mut table = Table::default();
    table.put(ACCOUNT, b"\xff\x00");
    let mut a = Ledger::new("a", 1);
    a.configure(1, Some(&BTreeMap::new()));
    a.apply_all(table.rows(), ms(0));
    a.meet(ACCOUNT, ms(0));
    let needs = usage(0, 1, 1);
    let allowance = a.allowance(ACCOUNT, &needs, ms(60_000));
    let known = allowance.map(|known| (known.hard, known.soft, known.wait));
    assert_eq!(known, Some((0, 0, Wait::Unreadable)));
    assert!(a.has_quotas(), "the row is still followed");
    let mut writer = ledger("b", 1, 10, &table);
    assert!(write(&mut writer, needs, &mut table, 0));
    a.apply(table.rows(), ms(60_010));
    assert_eq!(
        a.quota(ACCOUNT),
        Some(cpu(10)),
        "known once the row is replaced"
    );
}

#[test]
fn row_of_later_version_is_left_alone() {
    let mut table = Table::default();
    let newer = BTreeMap::from([("layout".to_owned(), 9_u32)]);
    table.put(ACCOUNT, &hyssop_platform::rows::encode(&newer));
    let mut a = ledger("a", 1, 10, &table);
    assert_eq!(hard(&a, usage(0, 1, 1)), 0);
    assert!(!write(&mut a, usage(0, 1, 1), &mut table, 5_000));
}

#[test]
fn quiet_system_writes_nothing() {
    let mut table = Table::default();
    let mut a = ledger("a", 1, 10, &table);
    let mut b = ledger("b", 1, 10, &table);
    assert!(write(&mut a, usage(0, 3, 1), &mut table, 0));
    b.apply(table.rows(), ms(5));
    assert!(write(&mut b, usage(0, 3, 1), &mut table, 5));
    for at in 0..100 {
        let at = 200 + at * 100;
        a.apply(table.rows(), ms(at));
        b.apply(table.rows(), ms(at));
        // Needs change all the time, within the grants.
        write(&mut a, usage(at / 100 % 3, 1, 1), &mut table, at);
        write(&mut b, usage(2 - at / 100 % 3, 0, 0), &mut table, at);
    }
    assert_eq!(
        table.transactions, 3,
        "the first writes, and the share given back"
    );
}

/// An owner in the random scenario.
struct Owner {
    ledger: Ledger,
    held: u64,
    orphaned: u64,
    waiting: u64,
    /// What it has seen of the table's changes.
    seen: u64,
    /// The write under way, and whether it has been carried out.
    in_flight: Option<(Vec<Write>, Option<Outcome>)>,
    version: u64,
}

impl Owner {
    fn usage(&self) -> Usage {
        Usage {
            held: cpu(self.held),
            orphaned: cpu(self.orphaned),
            waiting: cpu(self.waiting),
            unit: cpu(self.waiting.min(1)),
        }
    }
}

/// Several pools with owners that are taken over, see the table late, and whose writes are lost or carried
/// out late, while the quota changes. No start brings the sum of all tasks above the highest quota that any
/// owner may have.
#[test]
fn no_interleaving_exceeds_the_quota() {
    for seed in 0..400 {
        play(seed);
    }
}

fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = Table::default();
    let mut late: Vec<Vec<Write>> = Vec::new();
    let mut history = vec![(1, rng.random_range(1..12))];
    let count = rng.random_range(2..5);
    let mut terms = vec![1; count];
    let start = |pool: usize, term, held, orphaned, version, quota| {
        let mut ledger = Ledger::new(&format!("p{pool}"), term);
        ledger.configure(version, Some(&accounts(quota)));
        Owner {
            ledger,
            held,
            orphaned,
            waiting: 0,
            seen: 0,
            in_flight: None,
            version,
        }
    };
    let mut owners: Vec<Owner> = (0..count)
        .map(|pool| start(pool, 1, 0, 0, 1, history[0].1))
        .collect();
    let mut starts = 0;
    for step in 0..3_000_u64 {
        let at = ms(step * 7);
        let pool = rng.random_range(0..count);
        let newest = *history.last().expect("a version");
        match rng.random_range(0..100) {
            0 if history.len() < 6 => {
                history.push((newest.0 + 1, rng.random_range(1..12)));
            }
            1 => {
                terms[pool] += 1;
                let old = &mut owners[pool];
                if let Some((writes, None)) = old.in_flight.take() {
                    late.push(writes);
                }
                let known = old.held + old.orphaned;
                let (version, quota) = (old.version, quota_of(&history, old.version));
                owners[pool] = start(pool, terms[pool], 0, known, version, quota);
            }
            2..10 => {
                let owner = &mut owners[pool];
                owner.held += owner.orphaned;
                owner.orphaned = 0;
            }
            10..15 => {
                let owner = &mut owners[pool];
                if owner.version < newest.0 {
                    owner.version = newest.0;
                    owner.ledger.configure(newest.0, Some(&accounts(newest.1)));
                }
            }
            15..25 => owners[pool].waiting = rng.random_range(0..4) * rng.random_range(0..4),
            25..40 => owners[pool].held = owners[pool].held.saturating_sub(1),
            40..60 => {
                let owner = &mut owners[pool];
                if owner.seen == 0 {
                    owner.ledger.apply_all(table.rows(), at);
                } else {
                    owner.ledger.apply(table.rows(), at);
                }
                owner.seen = table.version().max(1);
            }
            60..64 => {
                if !late.is_empty() {
                    let writes = late.swap_remove(rng.random_range(0..late.len()));
                    table.commit(&writes);
                }
            }
            64..80 => advance_write(&mut owners[pool], &mut table, &mut late, &mut rng, at),
            _ => {
                let total: u64 = owners.iter().map(|o| o.held + o.orphaned).sum();
                let in_force = owners.iter().map(|owner| owner.version).min().unwrap_or(0);
                let limits = history.iter().filter(|(version, _)| *version >= in_force);
                let highest = limits.map(|(_, quota)| *quota).max().unwrap_or(0);
                let owner = &mut owners[pool];
                let allowance = owner.ledger.allowance(ACCOUNT, &owner.usage(), at);
                let allowance = allowance.expect("a quota");
                let wanted = share(&cpu(owner.held + owner.orphaned + 1), &allowance.quota);
                if owner.waiting > 0 && wanted <= allowance.soft.min(allowance.hard) {
                    assert!(
                        total < highest,
                        "seed {seed} step {step}: {total} of {highest}"
                    );
                    owner.held += 1;
                    owner.waiting -= 1;
                    starts += 1;
                }
            }
        }
    }
    assert!(starts > 0, "seed {seed}");
}

fn quota_of(history: &[(u64, u64)], version: u64) -> u64 {
    let found = history.iter().find(|(known, _)| *known == version);
    found.expect("a version").1
}

/// Begins a write, lets the store carry it out, or lets the owner learn its outcome.
fn advance_write(
    owner: &mut Owner,
    table: &mut Table,
    late: &mut Vec<Vec<Write>>,
    rng: &mut ChaCha8Rng,
    at: Duration,
) {
    match owner.in_flight.take() {
        None => {
            let usage = BTreeMap::from([(ACCOUNT.to_owned(), owner.usage())]);
            let writes = owner.ledger.next_writes(&usage, at);
            owner.in_flight = writes.map(|writes| (writes, None));
        }
        Some((writes, None)) => match rng.random_range(0..10) {
            0 => {
                late.push(writes);
                owner.ledger.on_outcome(Outcome::Lost, at);
            }
            1 => {
                owner.ledger.on_outcome(Outcome::Refused, at);
            }
            _ => {
                let outcome = table.commit(&writes);
                owner.in_flight = Some((writes, Some(outcome)));
            }
        },
        Some((_, Some(outcome))) => {
            let outcome = if rng.random_bool(0.1) {
                Outcome::Lost
            } else {
                outcome
            };
            let outcome = if rng.random_bool(0.5) {
                table.late_answer(outcome)
            } else {
                outcome
            };
            owner.ledger.on_outcome(outcome, at);
        }
    }
}
