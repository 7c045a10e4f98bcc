use super::Value;

/// A size written with its unit, such as `64KiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

/// The units and their sizes in bytes. `B` comes last because it is a suffix of the others.
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl Value for Bytes {
    const EXAMPLE: &'static str = "64KiB";

    fn parse(text: &str) -> Result<Self, String> {
        for (unit, size) in UNITS {
            let Some(number) = text.strip_suffix(unit) else {
                continue;
            };
            let Ok(count) = number.trim().parse::<u64>() else {
                continue;
            };
            return count
                .checked_mul(size)
                .map(Self)
                .ok_or("it is too large".to_owned());
        }
        Err("it is not a whole number with one of the units B, KiB, MiB, GiB".to_owned())
    }
}
