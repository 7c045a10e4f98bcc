//! How far the forecasts of alternative estimators are from the durations of drawn loads.

mod replay;

use replay::{alternatives, draw, replay, Load, Outcome, BEFORE, CHOSEN};
use strum::IntoEnumIterator;

const SEEDS: std::ops::Range<u64> = 1..4;

/// Returns what an alternative forecasts of a load, by seed.
fn outcomes(load: Load, alternative: &str) -> Vec<Outcome> {
    let outcome = |seed| {
        let mut named = alternatives().into_iter();
        let (_, mut found) = named
            .find(|(name, _)| *name == alternative)
            .expect("an alternative");
        replay(&draw(load, seed), found.as_mut())
    };
    SEEDS.map(outcome).collect()
}

fn mean(outcomes: &[Outcome], value: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
}

/// Forecasts were off by more where the image tells how long a task takes, or by learning from images
/// where they tell nothing.
#[test]
fn forecasts_by_image_halve_the_error_where_images_tell_something() {
    for load in Load::iter() {
        let before = outcomes(load, BEFORE);
        let chosen = outcomes(load, CHOSEN);
        // Of the durations, which vary themselves, and of what is typical of the task.
        let errors = |outcomes| {
            let of_runs = mean(outcomes, |outcome| outcome.error(0.9));
            (
                of_runs,
                mean(outcomes, |outcome| outcome.forecast_error(0.9)),
            )
        };
        let (before, chosen) = (errors(&before), errors(&chosen));
        let factor = if load.has_image_information() {
            0.5
        } else {
            1.0
        };
        assert!(
            chosen.0 <= before.0,
            "{load}: {chosen:?}, before {before:?}"
        );
        assert!(
            chosen.1 <= before.1 * factor,
            "{load}: {chosen:?}, before {before:?}"
        );
    }
}

/// A high quantile that fewer runs keep makes a sound worker look slow, and one that more keep hides a
/// slow one.
#[test]
fn high_quantile_holds_for_most_runs() {
    for load in Load::iter() {
        let share = mean(&outcomes(load, CHOSEN), Outcome::under_high);
        // While an image that has changed is learned anew, fewer runs keep it.
        let least = if load == Load::Change { 0.85 } else { 0.92 };
        assert!((least..0.97).contains(&share), "{load}: {share}");
    }
}

/// Prints the table of docs/design/18-expected-durations.md.
#[test]
fn table() {
    let row = |name: &str, cell: &dyn Fn(Load) -> String| {
        let cells: Vec<String> = Load::iter().map(cell).collect();
        println!("| {name} | {} |", cells.join(" | "));
    };
    row("forecast", &|load| load.to_string());
    row("---", &|_| "---".to_owned());
    for (name, _) in alternatives() {
        row(&name, &|load| {
            let outcomes = outcomes(load, &name);
            format!(
                "{:.2} {:.2} {:.2} {:.0}%",
                mean(&outcomes, |outcome| outcome.error(0.5)),
                mean(&outcomes, |outcome| outcome.error(0.9)),
                mean(&outcomes, |outcome| outcome.forecast_error(0.9)),
                mean(&outcomes, Outcome::under_high) * 100.0
            )
        });
    }
}
