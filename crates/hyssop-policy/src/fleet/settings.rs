use std::time::Duration;

/// Holds the fleet's bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// An older demand is not acted on.
    pub fresh: Duration,
    /// A list asked for this long after an order shows its effect.
    pub show: Duration,
    /// The pause after the platform refused to change an instance: those that leave or are down
    /// stay so for longer than a look takes.
    pub retry_pause: Duration,
    /// An instance of a wave that the platform's list has not named for this long has left the
    /// fleet; several looks lie within that time.
    pub left: Duration,
    /// An instance beyond its pool's own size goes back once it has been idle for this long: a
    /// move costs about as much as an instance in a pool for this time.
    pub idle: Duration,
    /// An instance of a pool's own size that has been idle for this long may be lent to another
    /// pool, and switched off after `rest`.
    pub lend: Duration,
    /// See `lend`; longer than `idle`, since the pool will want it back at its next turn.
    pub rest: Duration,
    /// How far ahead a rise of demand is followed: about the time that a move takes.
    pub ahead: Duration,
    /// What a pool keeps beyond its need, as a factor.
    pub margin: f64,
    /// The share of its own size that a pool keeps, whatever its need.
    pub kept: f64,
    /// How long emptying and maintaining one instance takes, for judging what a wave still needs.
    pub turn: Duration,
    /// A wave is pressed on with, whatever waits, once this much more than its need is left.
    pub reserve: Duration,
    /// An instance that is not empty this long before its wave's end is maintained all the same,
    /// where only tasks that start again elsewhere are lost: a late wave costs more than they do.
    pub last: Duration,
    /// The share of a pool that may be away for maintenance at once.
    pub share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fresh: Duration::from_millis(1_000),
            show: Duration::from_millis(400),
            retry_pause: Duration::from_millis(500),
            left: Duration::from_millis(1_500),
            idle: Duration::from_millis(1_000),
            lend: Duration::from_millis(700),
            rest: Duration::from_millis(1_500),
            ahead: Duration::from_millis(1_000),
            margin: 1.15,
            kept: 0.5,
            turn: Duration::from_millis(4_000),
            reserve: Duration::from_millis(6_000),
            last: Duration::from_millis(1_500),
            share: 0.25,
        }
    }
}
