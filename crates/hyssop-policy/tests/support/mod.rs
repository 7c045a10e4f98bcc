//! Helpers shared by the property tests.
#![allow(dead_code, unreachable_pub)]

use hyssop_model::entry::{Id, Member};
use hyssop_model::epoch::{Record, Retired};
use hyssop_model::instance::{self, State};
use proptest::test_runner::{Config, RngSeed};

/// Returns a proptest configuration with a fixed seed, so that every run has the same cases.
pub fn cases(count: u32) -> Config {
    Config {
        cases: count,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x68_79_73_73_6f_70),
        ..Config::default()
    }
}

pub fn member(id: u64) -> Member {
    Member {
        id: Id(id),
        name: format!("entry-{id}"),
        address: String::new(),
        peer_address: String::new(),
        data_centre: format!("dc-{}", id % 3),
    }
}

pub fn epoch(number: u64, members: &[u64], retired: &[u64]) -> Record {
    Record {
        number,
        members: members.iter().map(|id| member(*id)).collect(),
        retired: retired
            .iter()
            .map(|id| Retired {
                id: Id(*id),
                removed_ms: 0,
                is_clean: false,
            })
            .collect(),
        written_ms: 0,
        cold_start_ms: 0,
    }
}

pub fn instance(number: u32, pool: &str, slots: u32) -> instance::Record {
    instance::Record {
        key: instance::Key(number),
        name: format!("i-{number:04}"),
        address: format!("127.0.0.1:{}", 9000 + number),
        rack: format!("rack-{}", number / 4),
        data_centre: format!("dc-{}", number % 3),
        slots,
        connections: 64,
        pool: pool.to_owned(),
        state: State::Serving,
        moving_to: None,
        cause: None,
        maintained_ms: 0,
        boots: 1,
        revision: 1,
    }
}
