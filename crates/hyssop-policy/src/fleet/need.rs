use std::collections::VecDeque;
use std::time::Duration;

/// How long what a pool asked for is remembered.
const MEMORY: Duration = Duration::from_millis(3_000);
/// The rise of what is asked for is measured over this time: shorter ones show single jobs.
const SLOPE: Duration = Duration::from_millis(500);

/// Holds what a pool has asked for lately, in thousandths of a core at work or waiting.
#[derive(Clone, Debug, Default)]
pub(super) struct Need {
    seen: VecDeque<(Duration, u64)>,
}

impl Need {
    /// Notes what the pool asks for at `now`.
    pub(super) fn note(&mut self, now: Duration, cpu: u64) {
        self.seen.push_back((now, cpu));
        while self
            .seen
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > MEMORY)
        {
            self.seen.pop_front();
        }
    }

    /// Returns the most that was asked for since `from`.
    pub(super) fn most_since(&self, from: Duration) -> u64 {
        self.seen
            .iter()
            .filter(|(at, _)| *at >= from)
            .map(|(_, cpu)| *cpu)
            .max()
            .unwrap_or(0)
    }

    /// Returns what will be asked for in `ahead`, if it goes on rising as it does now; what falls
    /// is taken as it stands.
    pub(super) fn forecast(&self, ahead: Duration) -> u64 {
        let Some(&(now, current)) = self.seen.back() else {
            return 0;
        };
        let earlier = self
            .seen
            .iter()
            .rev()
            .find(|(at, _)| now.saturating_sub(*at) >= SLOPE);
        let Some(&(at, before)) = earlier else {
            return current;
        };
        let rise = current.saturating_sub(before) as f64;
        let span = now.saturating_sub(at).as_secs_f64();
        current + (rise * ahead.as_secs_f64() / span) as u64
    }
}
