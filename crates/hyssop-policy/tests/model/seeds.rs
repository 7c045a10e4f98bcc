use std::ops::Range;
use std::panic::{catch_unwind, RefUnwindSafe};

/// The environment variable that names a range of seeds to play, such as `0..2000`.
const VARIABLE: &str = "HYSSOP_SEEDS";

/// Plays the seeds below `count`, or those that [`VARIABLE`] names, and returns the sum of what the
/// simulations return.
///
/// # Panics
///
/// Panics with the seeds and messages of all simulations that panic.
pub fn play_seeds(count: u64, simulate: impl Fn(u64) -> usize + RefUnwindSafe) -> usize {
    let mut sum = 0;
    let mut failures = Vec::new();
    for seed in seeds(count) {
        match catch_unwind(|| simulate(seed)) {
            Ok(result) => sum += result,
            Err(panic) => {
                let message = panic.downcast_ref::<String>().cloned();
                failures.push((seed, message.unwrap_or_default()));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
    sum
}

fn seeds(count: u64) -> Range<u64> {
    let Ok(text) = std::env::var(VARIABLE) else {
        return 0..count;
    };
    let (first, end) = text.split_once("..").expect("a range of seeds");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}
