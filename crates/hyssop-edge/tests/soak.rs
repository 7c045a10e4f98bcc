//! A seeded soak: real processes are stopped, paused, killed and restarted while callers hand jobs
//! in and cancel them; the promises are checked from what callers and workers see.

mod support;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::{job, platform, until, Edge};

/// The seeds that CI plays; `HYSSOP_SOAK_SEEDS=FROM..TO` plays others by hand.
const SEEDS: std::ops::Range<u64> = 1..3;
const ROUNDS: usize = 14;
const PAUSE: Duration = Duration::from_millis(300);

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("HYSSOP_SOAK_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

#[test]
fn promises_hold_while_processes_come_and_go() {
    seeds().for_each(play);
}

fn play(seed: u64) {
    println!("seed {seed}");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let platform = platform();
    let mut edges: Vec<Edge> = (0..4)
        .map(|n| Edge::start(&platform, &format!("e{n}")))
        .collect();
    // With whether a cancellation was asked for.
    let mut accepted: BTreeMap<String, bool> = BTreeMap::new();
    let mut refused: BTreeSet<String> = BTreeSet::new();
    edges[0].accept("/a/00000000000000ff", &job(1, 1, 50));
    for round in 0..ROUNDS {
        for number in 0..2 {
            let pool = if random.random_bool(0.5) { "a" } else { "b" };
            let path = format!("/{pool}/{:016x}", seed * 1_000 + round as u64 * 10 + number);
            let body = job(random.random_range(1..4), 3, random.random_range(50..900));
            let edge = &edges[random.random_range(0..edges.len())];
            match edge.call_briefly("POST", &path, &body.to_string()) {
                200 => {
                    accepted.insert(path, false);
                }
                429 | 503 => {
                    refused.insert(path);
                }
                // Without an answer the job may or may not have been accepted.
                _ => {}
            }
        }
        let at = random.random_range(0..edges.len());
        match random.random_range(0..7) {
            0 => {
                edges[at].kill();
                edges[at] = Edge::start(&platform, &format!("e{at}"));
            }
            1 => edges[at].signal("STOP"),
            2 => edges.iter().for_each(|edge| edge.signal("CONT")),
            3 => {
                edges[at].signal("CONT");
                edges[at].signal("TERM");
                edges[at].wait();
                edges[at] = Edge::start(&platform, &format!("e{at}"));
            }
            4 => {
                if let Some((path, was_asked)) = accepted.iter_mut().next_back() {
                    *was_asked = true;
                    let status = edges[at].call_briefly("DELETE", path, "");
                    println!("cancel {path}: {status}");
                }
            }
            _ => {}
        }
        std::thread::sleep(PAUSE);
    }
    edges.iter().for_each(|edge| edge.signal("CONT"));
    for (path, was_asked) in &accepted {
        until("an accepted job ends", || {
            let state = edges[0].state(path);
            assert_ne!(state, "failed", "seed {seed}: {path} failed without cause");
            state == "done" || (state == "cancelled" && *was_asked)
        });
    }
    let begun = platform.begun();
    for path in &refused {
        let id = path.rsplit('/').next().expect("an identifier");
        let ran = begun.iter().any(|task| task.starts_with(id));
        assert!(!ran, "seed {seed}: {path} was refused and ran");
    }
    let overlaps = platform.overlaps();
    assert!(
        overlaps.is_empty(),
        "seed {seed}: ran twice at a time: {overlaps:?}"
    );
}
