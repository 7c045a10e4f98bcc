//! Prints what the estimator of durations costs: time for each observation and question, and bytes.

use hdrhistogram::Histogram;
use hyssop_policy::owner::learning::{Estimator, Kind, Place, Tuning};
use std::time::Instant;

const ROUNDS: u32 = 1_000_000;

fn main() {
    let names: Vec<String> = (0..5_000).map(|n| format!("image/number-{n}")).collect();
    let kind = |number: usize| Kind {
        queue: "queue",
        image: &names[number],
        estimate_ms: 1_000,
    };
    let place = Place {
        worker: 0,
        is_suspect: false,
    };
    for images in [100, 1_000, 5_000] {
        let mut estimator = Estimator::new(Tuning::default());
        let started = Instant::now();
        for round in 0..ROUNDS {
            let number = round as usize * 7 % images;
            estimator.observe(kind(number), 500.0 + f64::from(round % 100), None, place);
        }
        let observe_ns = started.elapsed().as_nanos() / u128::from(ROUNDS);
        let started = Instant::now();
        let mut sum = 0.0;
        for round in 0..ROUNDS {
            sum += estimator.expected_ms(kind(round as usize * 7 % images));
        }
        let ask_ns = started.elapsed().as_nanos() / u128::from(ROUNDS);
        let mean_ms = sum / f64::from(ROUNDS);
        println!(
            "{images} images: {observe_ns} ns a run, {ask_ns} ns a question ({mean_ms:.0} ms)"
        );
    }
    for digits in [1, 2] {
        let histogram = Histogram::<u16>::new_with_bounds(1, 3_600_000, digits);
        let histogram = histogram.expect("valid bounds");
        let bytes = histogram.distinct_values() * 2 + std::mem::size_of_val(&histogram);
        println!("hdrhistogram, 1 ms to 1 h, {digits} digits, 16-bit counts: {bytes} bytes");
    }
}
