//! One client account sends seven times its usual load while its pool is full: what the others get.

mod model;

use hyssop_model::work::{Account, Configuration, Phase};
use hyssop_policy::owner::Admission;
use model::{configuration, job, World};
use std::collections::BTreeMap;

/// The number of accounts that send what they usually do, three jobs a second each.
const ORDINARY_ACCOUNTS: usize = 19;
const ORDINARY_INTERVAL_MS: i64 = 333;
/// The interval between two jobs of the loud account, which usually sends ten a second.
const LOUD_INTERVAL_MS: i64 = 14;
/// The jobs a second that the loud account is owed.
const LOUD_WEIGHT: f64 = 20.0;
const LOUD: &str = "loud";
/// The duration of the load, which is 1.6 times what the pool can do.
const LOAD_MS: i64 = 5_000;
/// The objective of a job of two steps of half a second: 1.6 x 1 s + 0.6 s.
const OBJECTIVE_MS: i64 = 2_200;

/// The number of times that a caller comes back.
const RETRIES: u32 = 4;

/// A job of a caller that comes back when it is told to.
struct Sent {
    id: String,
    account: String,
    submitted_ms: i64,
    attempts: u32,
    /// When the caller submits it next, `None` once it is accepted.
    next_ms: Option<i64>,
    done_after_ms: Option<i64>,
}

impl Sent {
    /// Submits the job if its time has come.
    fn attempt(&mut self, world: &mut World) {
        if self.next_ms.is_none_or(|at| world.now_ms < at) || self.attempts > RETRIES {
            return;
        }
        self.attempts += 1;
        let mut submission = job(2, 4, 500);
        submission.account = Some(self.account.clone());
        self.next_ms = match world.submit(&self.id, submission) {
            Admission::Deferred(_, wait) => Some(world.now_ms + wait.as_millis() as i64),
            _ => None,
        };
    }

    fn is_accepted(&self) -> bool {
        self.next_ms.is_none()
    }

    fn is_in_time(&self) -> bool {
        self.done_after_ms.is_some_and(|ms| ms <= OBJECTIVE_MS)
    }
}

fn accounts() -> BTreeMap<String, Account> {
    let account = |name: String, weight: f64| {
        let account = Account {
            name: name.clone(),
            weight,
            ..Account::default()
        };
        (name, account)
    };
    let ordinary = (0..ORDINARY_ACCOUNTS).map(|number| account(format!("a{number:02}"), 6.0));
    ordinary
        .chain([account(LOUD.to_owned(), LOUD_WEIGHT)])
        .collect()
}

/// Plays the load on 40 workers of 8 cores, which can do 80 jobs of 8 x 0.5 s a second.
fn play(accounts: Option<BTreeMap<String, Account>>) -> Vec<Sent> {
    let mut world = World::new(1, 40, 8);
    world.run(500);
    world.scheduler().configure(&Configuration {
        accounts,
        ..configuration(None)
    });
    let started_ms = world.now_ms;
    let mut next_ms: BTreeMap<String, i64> = (0..ORDINARY_ACCOUNTS)
        .map(|number| (format!("a{number:02}"), started_ms + number as i64 * 17))
        .chain([(LOUD.to_owned(), started_ms)])
        .collect();
    let mut sent: Vec<Sent> = Vec::new();
    while world.now_ms < started_ms + LOAD_MS + 5_000 {
        let now_ms = world.now_ms;
        for (account, next_ms) in &mut next_ms {
            while *next_ms <= now_ms && *next_ms < started_ms + LOAD_MS {
                *next_ms += if account == LOUD {
                    LOUD_INTERVAL_MS
                } else {
                    ORDINARY_INTERVAL_MS
                };
                sent.push(Sent {
                    id: format!("{:016x}", sent.len()),
                    account: account.clone(),
                    submitted_ms: now_ms,
                    attempts: 0,
                    next_ms: Some(now_ms),
                    done_after_ms: None,
                });
            }
        }
        for job in &mut sent {
            job.attempt(&mut world);
        }
        world.run(20);
        let now_ms = world.now_ms;
        for job in sent.iter_mut().filter(|job| job.done_after_ms.is_none()) {
            if world.phase(&job.id) == Some(Phase::Done) {
                job.done_after_ms = Some(now_ms - job.submitted_ms);
            }
        }
    }
    sent
}

/// Returns the share of an account's jobs that were done in time.
fn in_time(sent: &[Sent], account: &str) -> f64 {
    let of_account: Vec<&Sent> = sent.iter().filter(|job| job.account == account).collect();
    let in_time = of_account.iter().filter(|job| job.is_in_time()).count();
    in_time as f64 / of_account.len() as f64
}

fn worst_ordinary(sent: &[Sent]) -> f64 {
    (0..ORDINARY_ACCOUNTS)
        .map(|number| in_time(sent, &format!("a{number:02}")))
        .fold(1.0, f64::min)
}

/// The jobs of the loud account ran beside and before those that were owed, so that every account
/// had late jobs.
#[test]
fn accounts_within_their_weights_are_served_in_time_beside_a_loud_one() {
    let before = worst_ordinary(&play(None));
    let sent = play(Some(accounts()));
    let worst = worst_ordinary(&sent);
    let owed = LOUD_WEIGHT * LOAD_MS as f64 / 1_000.0;
    let loud = sent.iter().filter(|job| job.account == LOUD);
    let loud_in_time = loud.filter(|job| job.is_in_time()).count();
    println!("worst ordinary account: {worst:.3}, without weights {before:.3}; loud: {loud_in_time} in time of {owed} owed");
    assert!(worst >= 0.95, "an ordinary account got {worst} in time");
    assert!(
        loud_in_time as f64 >= 0.95 * owed,
        "the loud account got {loud_in_time} in time of {owed} that it is owed"
    );
}

/// Jobs that can't end in time were accepted and ended late, or never in the time that callers wait.
#[test]
fn jobs_beyond_a_weight_are_deferred_instead_of_ending_late() {
    let sent = play(Some(accounts()));
    let late = sent
        .iter()
        .filter(|job| job.attempts == 1 && job.is_accepted() && !job.is_in_time());
    let late = late.count();
    let deferred: Vec<&Sent> = sent.iter().filter(|job| job.attempts > 1).collect();
    println!(
        "late {late}, deferred {}, sent {}",
        deferred.len(),
        sent.len()
    );
    assert!(deferred.iter().all(|job| job.account == LOUD));
    assert!(
        late * 20 <= sent.len(),
        "{late} of {} jobs were accepted at once and ended late",
        sent.len()
    );
}

/// A caller that came back before its turn took the place of one that had come first.
#[test]
fn deferred_callers_find_their_place_in_the_order_of_their_first_attempts() {
    let mut world = World::new(1, 1, 8);
    world.run(500);
    let account = Account {
        name: LOUD.to_owned(),
        weight: 1.0,
        ..Account::default()
    };
    world.scheduler().configure(&Configuration {
        accounts: Some(BTreeMap::from([(LOUD.to_owned(), account)])),
        ..configuration(None)
    });
    let submit = |world: &mut World, number: u64| {
        let mut submission = job(1, 8, 2_000);
        submission.account = Some(LOUD.to_owned());
        world.submit(&format!("{number:016x}"), submission)
    };
    let mut first_deferred = None;
    let mut waits = Vec::new();
    for number in 0..8 {
        if let Admission::Deferred(_, wait) = submit(&mut world, number) {
            first_deferred.get_or_insert(number);
            waits.push(wait);
        }
    }
    let first = first_deferred.expect("the backlog is longer than the objective");
    assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]));
    let early = submit(&mut world, first + 1);
    assert!(matches!(early, Admission::Deferred(..)), "{early:?}");
    world.run(waits[0].as_millis() as i64 + 2_000);
    let returned = submit(&mut world, first);
    assert_eq!(returned, Admission::Pending, "its place has come");
}

/// The wait of an account with a tiny weight did not fit into a duration, which ended the process.
#[test]
fn any_positive_weight_is_counted_without_a_panic() {
    for weight in [f64::MIN_POSITIVE, 1e-20, 1e300] {
        let mut world = World::new(1, 1, 8);
        world.run(500);
        let account = Account {
            name: LOUD.to_owned(),
            weight,
            ..Account::default()
        };
        world.scheduler().configure(&Configuration {
            accounts: Some(BTreeMap::from([(LOUD.to_owned(), account)])),
            ..configuration(None)
        });
        for number in 0..4 {
            let mut submission = job(1, 8, 2_000);
            submission.account = Some(LOUD.to_owned());
            world.submit(&format!("{number:016x}"), submission);
        }
    }
}
