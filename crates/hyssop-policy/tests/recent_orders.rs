//! The minimum interval between the orders of two owners to one instance, over chains of owners.

use hyssop_platform::dialect::Transfer;
use hyssop_policy::fleet::RecentOrders;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const GAP: Duration = Duration::from_millis(3_500);
const ROOM: usize = 65_536;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn change(instance: &str) -> Transfer {
    Transfer::Maintain {
        instance: instance.to_owned(),
        wave: 1,
    }
}

/// Returns the list of an owner that orders a change of `instance` at `now`, answered at once.
fn ordered(instance: &str, now: Duration) -> RecentOrders {
    let mut orders = RecentOrders::new(GAP);
    assert_eq!(orders.announce(&[change(instance)], now, ROOM), 1);
    orders.on_answered(instance, now);
    orders
}

/// Returns the successor's list at `now`, from what its predecessor stored.
fn succeed(left_ms: BTreeMap<String, u64>, now: Duration) -> RecentOrders {
    let mut orders = RecentOrders::new(GAP);
    for (instance, left) in left_ms {
        orders.inherit(instance, Some(ms(left)), now);
    }
    orders
}

/// Each owner waited anew for the whole interval, so that owners that were stopped 1 s apart ordered
/// nothing for 19 s (nyp-lahore, restarts-with-a-wave).
#[test]
fn chain_of_planned_stops_waits_for_the_interval_once() {
    let mut orders = ordered("a", ms(0));
    for second in 1..=3 {
        orders = succeed(orders.left_ms(ms(1_000 * second)), ms(1_000 * second));
        assert_eq!(orders.names().count(), 1, "after {second} s");
    }
    assert!(succeed(orders.left_ms(ms(3_500)), ms(3_500))
        .left_ms(ms(3_500))
        .is_empty());
}

/// A successor's row named its own orders only, so that the owner after it could change an instance
/// within the interval.
#[test]
fn inherited_instances_stay_listed_beside_own_orders() {
    let mut orders = succeed(ordered("a", ms(0)).left_ms(ms(500)), ms(500));
    orders.announce(&[change("b")], ms(600), ROOM);
    orders.expire(ms(1_000));
    let names: Vec<&String> = orders.names().collect();
    assert_eq!(names, ["a", "b"]);
    orders.expire(ms(3_500));
    let names: Vec<&String> = orders.names().collect();
    assert_eq!(names, ["b"]);
}

#[test]
fn unknown_or_longer_rest_counts_as_the_whole_interval() {
    let mut orders = RecentOrders::new(GAP);
    let now = ms(10_000);
    assert_eq!(orders.inherit("a".to_owned(), None, now), now + GAP);
    let long = Duration::from_millis(u64::MAX);
    assert_eq!(orders.inherit("b".to_owned(), Some(long), now), now + GAP);
}

#[test]
fn order_without_an_answer_is_left_alone_from_the_stop_on() {
    let mut orders = RecentOrders::new(GAP);
    orders.announce(&[change("a")], ms(1_500), ROOM);
    assert_eq!(orders.left_ms(ms(200))["a"], 3_500);
}

#[test]
fn changes_beyond_the_row_are_not_announced() {
    let mut orders = RecentOrders::new(GAP);
    let changes = [change("a"), change("b"), change("c")];
    assert_eq!(orders.announce(&changes, ms(0), 5 + 6 + 6), 2);
    assert_eq!(orders.names().count(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each owner starts some time after its predecessor's stop, on a clock of its own.
    #[test]
    fn no_owner_of_a_chain_changes_an_instance_within_the_interval(
        answered_after in 0_u64..1_500,
        chain in proptest::collection::vec((0_u64..2_500, 0_u64..400, 0_u64..100_000, any::<bool>()), 1..8),
    ) {
        let mut orders = RecentOrders::new(GAP);
        orders.announce(&[change("a")], ms(1_500), ROOM);
        orders.on_answered("a", ms(answered_after));
        let ordered_at = ms(answered_after);
        // Real time and the present owner's clock, both since the order was announced.
        let (mut real, mut clock) = (ordered_at, ordered_at);
        for (tenure, pause, start, is_stored) in chain {
            real += ms(tenure);
            clock += ms(tenure);
            let left = orders.left_ms(clock);
            real += ms(pause);
            clock = ms(start);
            orders = RecentOrders::new(GAP);
            let left = if is_stored { left.get("a").copied().map(ms).map(Some) } else { Some(None) };
            let until = left.map(|left| orders.inherit("a".to_owned(), left, clock));
            let may_order_at = real + until.map_or(Duration::ZERO, |until| until - clock);
            prop_assert!(may_order_at >= ordered_at + GAP);
        }
    }
}
