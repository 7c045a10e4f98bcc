use std::time::Duration;

/// Holds the fleet's bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// An older demand is not acted on.
    pub fresh: Duration,
    /// A list asked for this long after an order shows its effect.
    pub show: Duration,
    /// An instance beyond its pool's own size goes back once it has been idle for this long: a
    /// move costs about as much as an instance in a pool for this time.
    pub idle: Duration,
    /// How long emptying and maintaining one instance takes, for judging what a wave still needs.
    pub turn: Duration,
    /// A wave is pressed on with, whatever waits, once this much more than its need is left.
    pub reserve: Duration,
    /// The share of a pool that may be away for maintenance at once.
    pub share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fresh: Duration::from_millis(1_000),
            show: Duration::from_millis(400),
            idle: Duration::from_millis(1_000),
            turn: Duration::from_millis(4_000),
            reserve: Duration::from_millis(6_000),
            share: 0.25,
        }
    }
}
