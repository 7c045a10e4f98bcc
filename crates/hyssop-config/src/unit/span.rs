use super::Value;
use std::time::Duration;

/// A duration written with its unit, such as `1500ms`, `8s`, `10m`, `2h` or `21d`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

/// The units and their lengths in milliseconds. `ms` precedes `s`, which is its suffix.
const UNITS: [(&str, u64); 5] = [
    ("ms", 1),
    ("s", 1_000),
    ("m", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];

impl Value for Span {
    const EXAMPLE: &'static str = "1500ms";

    fn parse(text: &str) -> Result<Self, String> {
        for (unit, length_ms) in UNITS {
            let Some(number) = text.strip_suffix(unit) else {
                continue;
            };
            let Ok(count) = number.trim().parse::<u64>() else {
                continue;
            };
            let total_ms = count.checked_mul(length_ms).ok_or("it is too long")?;
            return Ok(Self(Duration::from_millis(total_ms)));
        }
        Err("it is not a whole number with one of the units ms, s, m, h, d".to_owned())
    }
}
