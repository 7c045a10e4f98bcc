//! Orders to machines that the network holds up, with real processes.

mod support;

use platform_standin::{Access, Platform, Shape};
use std::time::Duration;
use support::proxy::Proxy;
use support::{announce_wave, configure, wait_for_wave, wait_until, Edge};

/// So that idle machines have returned to the spare pool before the wave.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Longer than it takes to deliver what was held up.
const DELIVERY_TIME: Duration = Duration::from_secs(1);

/// An order was given up by closing its connection, and what the network still held arrived after the orders
/// of the next owner.
#[test]
fn order_that_was_given_up_does_not_arrive_after_those_of_the_next_owner() {
    let platform = Platform::start(&Shape {
        pools: vec![("alpha".to_owned(), 4), ("spare".to_owned(), 2)],
        spare: Some("spare".to_owned()),
    });
    configure(&platform, 1, &[("/a/", "alpha")]);
    let proxy = Proxy::start(platform.machines);
    let first = Edge::start_with_machines(&platform, "e0", proxy.address);
    wait_until("the fleet is owned", || first.owns("fleet/"));
    let second = Edge::start(&platform, "e1");
    std::thread::sleep(SETTLING_TIME);
    proxy.cut_at_next_post();
    let machines: Vec<String> = platform.pools().into_keys().collect();
    announce_wave(&platform, &machines, 40, 2);
    wait_until("an order is on its way", || proxy.is_cut());
    platform.set_access("e0", Access::Silent);
    wait_until("the next owner has the fleet", || second.owns("fleet/"));
    wait_for_wave(&platform, "done");
    platform.set_access("e0", Access::Open);
    proxy.heal();
    std::thread::sleep(DELIVERY_TIME);
    let tokens = |machine: &String| -> Vec<u64> {
        let orders = platform.orders().into_iter();
        let own = orders.filter(|(name, ..)| name == machine);
        own.map(|(.., token)| token).collect()
    };
    for machine in &machines {
        let tokens = tokens(machine);
        assert!(tokens.is_sorted(), "{machine}: {tokens:?}");
    }
}
