//! Encoding and decoding of frames: round trip, encoded size, and rejection of corrupt frames.

#![allow(clippy::unwrap_used)]

use hyssop_model::instance;
use hyssop_wire::demand::{Flow, Pool, Report};
use hyssop_wire::slot::{Lend, Loan};
use hyssop_wire::{claim, Body, Error, Frame};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn lend_frame(count: u32) -> Frame {
    let loan = |index: u32| Loan {
        id: 1000 + u64::from(index),
        instance: instance::Key(index),
        index: (index % 8) as u8,
    };
    Frame::new(
        1_800_000_000_000_000,
        Body::Lend(Lend {
            epoch: 12,
            tenure_ms: 1000,
            loans: (0..count).map(loan).collect(),
        }),
    )
}

#[test]
fn frame_round_trips() {
    let frame = lend_frame(20);
    assert_eq!(Frame::decode(&frame.encode()).unwrap(), frame);
}

#[test]
fn answer_encoding_adds_less_than_100_bytes_to_its_body() {
    const BODY_BYTES: usize = 4096;
    let frame = Frame::new(
        1,
        Body::Settlement(claim::Settlement {
            id: 1,
            key: "b1.1.2.3".to_owned(),
            end: claim::End::Answered(claim::Answer {
                status: 200,
                media_type: None,
                instance: "i-0001".to_owned(),
                body: vec![200; BODY_BYTES],
            }),
        }),
    );
    assert!(frame.encode().len() < BODY_BYTES + 100);
}

#[test]
fn demand_of_one_pool_encodes_to_less_than_100_bytes() {
    let frame = Frame::new(
        1_800_000_000_000_000,
        Body::Demand(Report {
            pools: vec![Pool {
                pool: "permits".to_owned(),
                usable: 13,
                oldest_ms: 120,
                flows: vec![Flow {
                    queue: "renewals".to_owned(),
                    waiting: [0, 12, 0],
                    in_flight: 13,
                }],
            }],
        }),
    );
    assert!(frame.encode().len() < 100, "{} bytes", frame.encode().len());
}

#[test]
fn rejects_frame_of_another_protocol_version() {
    let mut frame = lend_frame(1);
    frame.version = 99;
    let error = Frame::decode(&frame.encode()).unwrap_err();
    assert!(matches!(error, Error::Version { found: 99, .. }));
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    })]

    #[test]
    fn decoding_corrupt_frame_does_not_panic(position in 0..200usize, value: u8, length in 0..400usize) {
        let mut bytes = lend_frame(20).encode();
        let index = position % bytes.len();
        bytes[index] = value;
        bytes.truncate(length);
        // Either result is allowed: the corrupt bytes may still decode as a different frame.
        let _ = Frame::decode(&bytes);
    }
}
