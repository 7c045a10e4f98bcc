//! Times of the store on a process's clock, from which the age of what it has read follows.

use hyssop_platform::rows::Offset;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The first answer was read 20 s late, after a freeze, and what it told counted as known at the time
/// of the reading.
#[test]
fn first_answer_read_after_freeze_is_as_old_as_its_call() {
    let mut offset = Offset::default();
    offset.observe(500_000, at(100), at(20_100));
    let earliest = offset.earliest(500_000).expect("an answer");
    assert!(earliest <= at(100), "{earliest:?}");
}

#[test]
fn answer_of_long_call_is_as_recent_as_quick_call_allows() {
    let mut offset = Offset::default();
    offset.observe(500_004, at(100), at(108));
    offset.observe(501_508, at(110), at(1_615));
    let earliest = offset.earliest(501_508).expect("an answer");
    assert!(
        earliest >= at(1_598) && earliest <= at(1_608),
        "{earliest:?}"
    );
}

/// A restarted store counts from a new origin; times of before must not make its answers look recent.
#[test]
fn changed_clock_of_store_is_followed() {
    for origin in [5, 90_000_000] {
        let mut offset = Offset::default();
        offset.observe(500_004, at(100), at(108));
        offset.observe(origin + 4, at(10_000), at(10_008));
        let earliest = offset.earliest(origin + 4).expect("an answer");
        assert!(earliest <= at(10_004), "{origin}: {earliest:?}");
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x63_6c_6f_63_6b),
        ..Config::default()
    })]

    /// Each call takes any time to the store and back, freezes and suspensions included, and the
    /// store's clock runs up to 500 parts in a million faster or slower. Every second call is quick.
    #[test]
    fn age_is_not_underestimated_by_more_than_drift_and_fastest_answer(
        parts in -500_i64..=500,
        calls in prop::collection::vec((0_u64..3_000, 0_u64..30_000, 0_u64..5_000), 1..60)
    ) {
        /// The longest quick answer, and the drift from the start to the last call of a case.
        const MARGIN: Duration = Duration::from_millis(10 + 30 + 2);
        let store = |local: u64| 700_000 + local as i64 + local as i64 * parts / 1_000_000;
        let mut offset = Offset::default();
        let mut now = 1_000;
        for (number, (out, back, pause)) in calls.into_iter().enumerate() {
            let (out, back) = if number % 2 == 0 { (out, back) } else { (out % 10, back % 10) };
            let (sent, shown) = (now, now + out);
            now = shown + back;
            offset.observe(store(shown), at(sent), at(now));
            let earliest = offset.earliest(store(shown)).expect("an answer");
            prop_assert!(
                earliest <= at(shown) + MARGIN,
                "call {number}: {earliest:?}, shown at {shown}"
            );
            now += pause;
        }
    }
}
