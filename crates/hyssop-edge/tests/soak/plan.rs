use super::fault::{Fault, JobKind};
use platform_standin::{Access, Service};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Workers of both pools; the first of each pool keeps its kind.
pub(crate) const WORKERS_PER_POOL: usize = 3;
const WORKER_COUNT: usize = 2 * WORKERS_PER_POOL;
/// How long faults begin.
const FAULTS_MS: u64 = 16_000;
/// Before this, processes find their shards.
const SETTLING_MS: u64 = 1_500;
const SUBMIT_INTERVAL_MS: u64 = 400;
const FAULT_COUNT: std::ops::Range<usize> = 6..14;
const FAILOVER_COUNT: std::ops::Range<usize> = 0..3;
/// An owner that is cut off from the store has usually been replaced by then.
const TAKEOVER_MS: u64 = 1_500;
/// A process that is asked to stop has ended by then.
const GRACE_MS: u64 = 3_500;

/// The generator of bursts and silent connections is another one, so that seeds keep their other faults.
const EXTRA_SEED: u64 = 0x5117;
const SILENCE_COUNT: std::ops::Range<usize> = 0..3;
/// Without disruptions for this long, the platform's rules hold again (`contact-window-ms`).
const CONTACT_WINDOW_MS: u64 = 3_000;
/// A job that was submitted without disruptions is stored and its tasks run by then.
const START_MS: u64 = 1_000;
/// The store's answers take this long in the end, so that processes open several connections to it.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// What happens when, drawn from a seed.
pub(crate) struct Plan {
    pub(crate) process_count: usize,
    /// The steps in the order of their times.
    pub(crate) steps: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Draws a plan.
    pub(crate) fn draw(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let process_count = random.random_range(4..11);
        let mut steps = Vec::new();
        let mut add = |at_ms: u64, fault| steps.push((Duration::from_millis(at_ms), fault));
        let mut at_ms = SETTLING_MS;
        while at_ms < FAULTS_MS {
            let process = random.random_range(0..process_count);
            add(at_ms, Fault::Submit(draw_job(&mut random), process));
            if random.random_bool(0.15) {
                let back = random.random_range(0..4);
                add(at_ms + SUBMIT_INTERVAL_MS / 2, Fault::Cancel(back, process));
            }
            at_ms += SUBMIT_INTERVAL_MS;
        }
        for _ in 0..random.random_range(FAILOVER_COUNT) {
            let at_ms = random.random_range(2 * SETTLING_MS..FAULTS_MS);
            let pool = if random.random_bool(0.5) {
                "alpha"
            } else {
                "beta"
            };
            add(at_ms, Fault::FailOver(pool));
            add(at_ms + TAKEOVER_MS, Fault::Expire);
            let is_long = random.random_bool(0.7);
            let silence_ms = random.random_range(if is_long { 6_000..9_000 } else { 1_000..6_000 });
            let end_ms = at_ms + TAKEOVER_MS + silence_ms;
            add(end_ms, Fault::Reopen(pool));
            for process in 0..process_count {
                let after_ms = random.random_range(0..2_000);
                let open = Fault::Store(Some(process), Access::Open);
                add(end_ms + after_ms, open);
            }
            for worker in 0..WORKER_COUNT {
                let after_ms = random.random_range(0..1_900);
                add(end_ms + after_ms, Fault::Restore(worker));
            }
        }
        for _ in 0..random.random_range(FAULT_COUNT) {
            let at_ms = random.random_range(2 * SETTLING_MS..FAULTS_MS);
            let end_ms = at_ms + random.random_range(1_000..9_000);
            let process = random.random_range(0..process_count);
            let worker = random.random_range(0..WORKER_COUNT);
            match random.random_range(0..12) {
                0..=2 => {
                    add(at_ms, Fault::Store(Some(process), draw_access(&mut random)));
                    add(end_ms, Fault::Store(Some(process), Access::Open));
                }
                3..=4 => {
                    add(at_ms, Fault::Store(None, draw_access(&mut random)));
                    add(end_ms, Fault::Store(None, Access::Open));
                    if random.random_bool(0.5) {
                        add(at_ms + 1, Fault::Expire);
                        for worker in 0..WORKER_COUNT {
                            let after_ms = random.random_range(0..1_900);
                            add(end_ms + after_ms, Fault::Restore(worker));
                        }
                    }
                }
                5 => {
                    add(at_ms, Fault::Kill(process));
                    add(end_ms, Fault::Restart(process));
                }
                6 => {
                    add(at_ms, Fault::Freeze(process));
                    add(end_ms, Fault::Thaw(process));
                }
                7 => {
                    add(at_ms, Fault::Terminate(process));
                    add(at_ms + GRACE_MS, Fault::Restart(process));
                }
                8..=9 => {
                    add(at_ms, Fault::CutOff(worker));
                    add(end_ms, Fault::Reconnect(worker));
                }
                10 => {
                    let keeps_kind = worker.is_multiple_of(WORKERS_PER_POOL);
                    let is_other = !keeps_kind && random.random_bool(0.6);
                    let kind = if is_other { "kind-b" } else { "kind-a" };
                    add(at_ms, Fault::Replace(worker, kind));
                }
                _ => add(at_ms, Fault::Forget),
            }
        }
        steps.sort_by_key(|(at, _)| *at);
        Self {
            process_count,
            steps,
        }
    }

    /// Adds bursts on the pool that requires advice, connections that go silent during the other faults,
    /// and a cancellation after the connections to the store have gone silent at the end.
    pub(crate) fn add_bursts_and_silence(&mut self, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ EXTRA_SEED);
        let mut add = |at_ms: u64, fault| self.steps.push((Duration::from_millis(at_ms), fault));
        let process = random.random_range(0..self.process_count);
        let burst_ms = random.random_range(2 * SETTLING_MS..FAULTS_MS);
        add(burst_ms, Fault::Burst(process));
        for _ in 0..random.random_range(SILENCE_COUNT) {
            let at_ms = random.random_range(2 * SETTLING_MS..FAULTS_MS);
            let services = [Service::Store, Service::Workers, Service::Advice];
            let service = services[random.random_range(0..services.len())];
            add(at_ms, Fault::Silence(service));
        }
        self.steps.sort_by_key(|(at, _)| *at);
        let last = self.steps.last().map_or(Duration::ZERO, |(at, _)| *at);
        let mut at = last + Duration::from_millis(CONTACT_WINDOW_MS);
        let mut end = |pause_ms: u64, fault| {
            self.steps.push((at, fault));
            at += Duration::from_millis(pause_ms);
        };
        end(CONTACT_WINDOW_MS, Fault::EndAll);
        end(START_MS, Fault::Store(None, Access::Slow(STORE_DELAY)));
        // One for each pool.
        end(0, Fault::Submit(JobKind::Lasting, process));
        end(START_MS, Fault::Submit(JobKind::Lasting, process + 1));
        end(CONTACT_WINDOW_MS, Fault::Forget);
        end(CONTACT_WINDOW_MS, Fault::Silence(Service::Store));
        end(0, Fault::CancelInTime(process));
    }
}

fn draw_job(random: &mut ChaCha8Rng) -> JobKind {
    let is_long = random.random_bool(0.3);
    let ms = random.random_range(if is_long { 8_000..12_000 } else { 50..6_000 });
    match random.random_range(0..10) {
        0..=3 => JobKind::Plain(ms),
        4..=5 => JobKind::Steps(ms / 2),
        6 => JobKind::Scheduled(ms / 4),
        7 => JobKind::Lasting,
        _ => JobKind::Labelled(ms),
    }
}

fn draw_access(random: &mut ChaCha8Rng) -> Access {
    match random.random_range(0..8) {
        0..=2 => Access::Silent,
        3 => Access::Reset,
        4 => Access::Busy,
        5 => Access::Unanswered,
        6 => Access::Late(Duration::from_millis(random.random_range(1_000..6_000))),
        _ => Access::Slow(Duration::from_millis(random.random_range(100..900))),
    }
}
