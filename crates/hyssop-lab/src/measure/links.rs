use super::Parameters;
use crate::error::Error;
use crate::report::{print_rows, write_json};
use hyssop_policy::failover::{rank, Candidate, Turn, Verdict, Watch, WATCHER_COUNT};
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

/// The numbers of processes that are simulated.
const SIZES: [usize; 3] = [30, 100, 300];
const SHARDS: usize = 6;
const DATA_CENTRES: usize = 4;
const RUNS: usize = 300;
const HEARTBEAT_MS: u64 = 250;
const STEP_MS: u64 = 10;
const HOP_MS: u64 = 2;
/// How long a process tries another one on behalf of a watcher.
const PROBE_MS: u64 = 300;
/// How long after the loss of an owner the fleet's owner has reported it.
const REPORT_MS: std::ops::Range<u64> = 300..400;
/// The processes that are told of a suspect owner at a time.
const WINDOW: usize = 3;
const HORIZON_MS: u64 = 6_000;
/// The loss rate of a link that loses packets, and the delay of a retransmission.
const LOSS: f64 = 0.025;
const RETRANSMIT_MS: u64 = 200;

/// What happens at time zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Event {
    OwnerLost,
    ThirdLost,
    OwnerAndWatchersLost,
    OneWayCut,
    LossyLinks,
}

/// How failures are detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Scheme {
    /// Every process sends heartbeats to every other and may replace every owner.
    Mesh,
    /// A few candidates watch each owner; others report one that they do not reach.
    Candidates,
    /// Every process probes one other at random in each interval, indirectly too.
    RandomProbing,
}

/// The result of all runs of one scheme, size and event.
#[derive(Debug, Serialize)]
struct Outcome {
    scheme: String,
    processes: usize,
    event: String,
    links_per_process: f64,
    frames_per_second: f64,
    median_ms: Option<u64>,
    worst_ms: Option<u64>,
    replaced: f64,
}

/// Compares ways to detect a lost owner, with a simulated clock and network.
pub(crate) fn links(parameters: &Parameters) -> Result<bool, Error> {
    use strum::IntoEnumIterator;
    let mut outcomes = Vec::new();
    for scheme in Scheme::iter() {
        for processes in SIZES {
            for event in Event::iter() {
                outcomes.push(measure(scheme, processes, event, parameters.seed));
            }
        }
    }
    let rows = outcomes.iter().map(|outcome| {
        let ms = |time: Option<u64>| time.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
        vec![
            outcome.scheme.clone(),
            outcome.processes.to_string(),
            format!("{:.1}", outcome.links_per_process),
            format!("{:.1}", outcome.frames_per_second),
            outcome.event.clone(),
            format!("{:.3}", outcome.replaced),
            ms(outcome.median_ms),
            ms(outcome.worst_ms),
        ]
    });
    let header = [
        "scheme",
        "processes",
        "links",
        "frames/s",
        "event",
        "replaced",
        "median ms",
        "worst ms",
    ];
    print_rows(&header, rows);
    write_json("links", &outcomes)?;
    Ok(outcomes.iter().all(meets_targets))
}

/// Returns whether the scheme in use replaces lost owners within a second, and no others.
fn meets_targets(outcome: &Outcome) -> bool {
    /// The rest of the second is for the transaction and for recovering the jobs.
    const MAX_DETECTION_MS: u64 = 900;
    if outcome.scheme != Scheme::Candidates.to_string() {
        return true;
    }
    let is_false_alarm = [Event::OneWayCut, Event::LossyLinks].map(|event| event.to_string());
    if is_false_alarm.contains(&outcome.event) {
        outcome.replaced == 0.0
    } else {
        outcome.replaced == 1.0 && outcome.median_ms.is_some_and(|ms| ms <= MAX_DETECTION_MS)
    }
}

fn measure(scheme: Scheme, processes: usize, event: Event, seed: u64) -> Outcome {
    let mut times: Vec<u64> = (0..RUNS)
        .filter_map(|run| {
            let mut world = World::new(processes, event, seed + run as u64);
            match scheme {
                Scheme::Mesh => world.detect_by_mesh(),
                Scheme::Candidates => world.detect_by_candidates(),
                Scheme::RandomProbing => world.detect_by_probing(),
            }
        })
        .collect();
    times.sort_unstable();
    let (links_per_process, frames_per_second) = cost(scheme, processes);
    Outcome {
        scheme: scheme.to_string(),
        processes,
        event: event.to_string(),
        links_per_process,
        frames_per_second,
        median_ms: times.get(times.len() / 2).copied(),
        worst_ms: times.last().copied(),
        replaced: times.len() as f64 / RUNS as f64,
    }
}

/// Returns the links that a process opens and the frames that it sends a second, on the mean.
fn cost(scheme: Scheme, processes: usize) -> (f64, f64) {
    let others = (processes - 1) as f64;
    let rate = 1_000.0 / HEARTBEAT_MS as f64;
    match scheme {
        // A ping to each other process, and an answer to the ping of each.
        Scheme::Mesh => (others, 2.0 * others * rate),
        Scheme::Candidates => {
            // The watchers of each shard are connected to its owner and to each other.
            let links = (SHARDS * WATCHER_COUNT * WATCHER_COUNT) as f64 / processes as f64;
            (links, 2.0 * links * rate)
        }
        Scheme::RandomProbing => (1.0, 2.0 * rate),
    }
}

/// The processes of one run; the first in `order` owns the shard.
struct World {
    owner: usize,
    /// The candidates, first choice first.
    order: Vec<usize>,
    lost: BTreeSet<usize>,
    event: Event,
    rng: ChaCha8Rng,
}

impl World {
    fn new(processes: usize, event: Event, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let candidates: Vec<Candidate> = (0..processes)
            .map(|number| Candidate {
                name: format!("e{number}-{seed}"),
                data_centre: format!("dc-{}", number % DATA_CENTRES),
                owned: 0,
                share: [120, 250, 500][number / DATA_CENTRES % 3],
                is_renewed: false,
            })
            .collect();
        let shard = "pool".to_owned();
        let ranked = &rank(std::slice::from_ref(&shard), &candidates)[&shard];
        let mut order: Vec<usize> = ranked
            .iter()
            .filter_map(|name| candidates.iter().position(|known| known.name == *name))
            .collect();
        let owner = order.remove(0);
        let mut lost = BTreeSet::new();
        match event {
            Event::OwnerLost => {
                lost.insert(owner);
            }
            Event::ThirdLost => {
                let mut others = order.clone();
                others.shuffle(&mut rng);
                lost.insert(owner);
                lost.extend(others.into_iter().take(processes / 3));
            }
            Event::OwnerAndWatchersLost => {
                lost.insert(owner);
                lost.extend(order.iter().take(WATCHER_COUNT));
            }
            Event::OneWayCut | Event::LossyLinks => {}
        }
        Self {
            owner,
            order,
            lost,
            event,
            rng,
        }
    }

    /// Returns whether frames from one process to another pass.
    fn passes(&self, from: usize, to: usize) -> bool {
        let is_cut = self.event == Event::OneWayCut && from == self.owner && to == self.order[0];
        !is_cut && !self.lost.contains(&from) && !self.lost.contains(&to)
    }

    /// Returns the transit time of a frame, with its retransmissions.
    fn transit_ms(&mut self) -> u64 {
        let mut ms = HOP_MS;
        if self.event == Event::LossyLinks {
            let mut delay = RETRANSMIT_MS;
            while self.rng.random_bool(LOSS) {
                ms += delay;
                delay *= 2;
            }
        }
        ms
    }

    /// Returns the times at which `to` hears heartbeats of `from`, in order; frames of one
    /// connection don't overtake each other.
    fn heartbeats(&mut self, from: usize, to: usize) -> Vec<u64> {
        let phase = self.rng.random_range(0..HEARTBEAT_MS);
        // The last heartbeat before time zero.
        let mut heard = vec![0];
        if !self.passes(from, to) {
            return heard;
        }
        let mut sent = phase;
        while sent < HORIZON_MS {
            let arrival = sent + self.transit_ms() + self.transit_ms();
            heard.push(arrival.max(heard[heard.len() - 1]).min(HORIZON_MS));
            sent += HEARTBEAT_MS;
        }
        heard
    }

    /// Every candidate times out by itself and waits for those of higher rank.
    fn detect_by_mesh(&mut self) -> Option<u64> {
        let timeout_ms = Watch::TIMEOUT.as_millis() as u64;
        let rank_pause_ms = Turn::RANK_PAUSE.as_millis() as u64;
        let mut first = None;
        for position in 0..self.order.len() {
            let candidate = self.order[position];
            let silence_ms = timeout_ms + rank_pause_ms * position as u64;
            if self.lost.contains(&candidate) {
                continue;
            }
            let mut heard = self.heartbeats(self.owner, candidate);
            if heard.len() == 1 {
                heard.push(HORIZON_MS);
            }
            let silent = heard
                .windows(2)
                .find(|pair| pair[1] - pair[0] >= silence_ms);
            if let Some(pair) = silent {
                let at = pair[0] + silence_ms;
                first = Some(first.map_or(at, |other: u64| other.min(at)));
            }
        }
        // A heartbeat is up to an interval old at time zero.
        first.map(|at| at.saturating_sub(self.rng.random_range(0..HEARTBEAT_MS)))
    }

    /// The watchers use [`Watch`]; further candidates start to watch when they are told.
    fn detect_by_candidates(&mut self) -> Option<u64> {
        let mut watchers = Vec::new();
        for position in 0..WATCHER_COUNT.min(self.order.len()) {
            if !self.lost.contains(&self.order[position]) {
                watchers.push(self.watcher(position, Watch::new(ms(0))));
            }
        }
        let mut report_at = self.rng.random_range(REPORT_MS);
        let mut window = WATCHER_COUNT;
        let is_owner_lost = self.lost.contains(&self.owner);
        for now in (0..HORIZON_MS).step_by(STEP_MS as usize) {
            if is_owner_lost && now >= report_at {
                for position in window..(window + WINDOW).min(self.order.len()) {
                    if !self.lost.contains(&self.order[position]) {
                        let watcher = self.watcher(position, Watch::reported(ms(now)));
                        watchers.push(watcher);
                    }
                }
                window += WINDOW;
                report_at = now + 500;
            }
            for watcher in &mut watchers {
                if self.step(watcher, now) {
                    return Some(now);
                }
            }
        }
        None
    }

    fn watcher(&mut self, position: usize, watch: Watch) -> Watcher {
        let process = self.order[position];
        Watcher {
            position,
            process,
            watch,
            heard: self.heartbeats(self.owner, process),
            answers: Vec::new(),
            rounds: 0,
            vacant_since: None,
        }
    }

    /// Advances a watcher to `now`; returns whether it takes over.
    fn step(&mut self, watcher: &mut Watcher, now: u64) -> bool {
        let latest = watcher.heard.iter().rev().find(|at| **at <= now);
        watcher.watch.on_heard(ms(latest.copied().unwrap_or(0)));
        if watcher.watch.take_probe(ms(now)) {
            let helpers: Vec<usize> = (0..4)
                .map(|number| self.order[(watcher.rounds * 4 + number) % self.order.len()])
                .filter(|helper| *helper != watcher.process)
                .collect();
            watcher.rounds += 1;
            for helper in helpers {
                if !self.passes(watcher.process, helper) {
                    continue;
                }
                let is_reached = self.passes(self.owner, helper);
                let wait = if is_reached { HOP_MS } else { PROBE_MS };
                let at = now + wait + self.transit_ms() + self.transit_ms();
                watcher.answers.push((at, is_reached));
            }
        }
        for (_, is_reached) in watcher.answers.extract_if(.., |(at, _)| *at <= now) {
            watcher.watch.on_probe_answer(is_reached, ms(now));
        }
        if watcher.watch.verdict(ms(now)) != Verdict::Lost {
            watcher.vacant_since = None;
            return false;
        }
        let since = *watcher.vacant_since.get_or_insert(now);
        let ahead = (0..watcher.position)
            .filter(|position| !self.lost.contains(&self.order[*position]))
            .count();
        let turn = Turn {
            position: ahead as u32,
            vacant_for: ms(now - since),
            had_owner: true,
            owner_for: None,
        };
        turn.has_come()
    }

    /// Each process probes a random other one in each interval, then asks three others.
    fn detect_by_probing(&mut self) -> Option<u64> {
        /// A direct probe without an answer for this long is repeated through others.
        const DIRECT_MS: u64 = 300;
        let processes = self.order.len() + 1;
        let mut first: Option<u64> = None;
        for prober in self.order.clone() {
            if self.lost.contains(&prober) {
                continue;
            }
            let mut at = self.rng.random_range(0..HEARTBEAT_MS);
            while at < HORIZON_MS && first.is_none_or(|known| at < known) {
                if self.rng.random_range(0..processes - 1) == 0 && !self.probe(prober) {
                    let helpers: Vec<usize> = (0..3)
                        .map(|_| self.order[self.rng.random_range(0..self.order.len())])
                        .collect();
                    let is_reached = helpers
                        .into_iter()
                        .any(|helper| self.passes(prober, helper) && self.probe(helper));
                    let verdict_at = at + DIRECT_MS + PROBE_MS;
                    if !is_reached && first.is_none_or(|known| verdict_at < known) {
                        first = Some(verdict_at);
                    }
                }
                at += HEARTBEAT_MS;
            }
        }
        first
    }

    /// Returns whether one probe of the owner is answered in time.
    fn probe(&mut self, prober: usize) -> bool {
        let round_trip = self.transit_ms() + self.transit_ms();
        self.passes(self.owner, prober) && round_trip < PROBE_MS
    }
}

/// A candidate that watches the owner.
struct Watcher {
    position: usize,
    process: usize,
    watch: Watch,
    heard: Vec<u64>,
    /// Answers of helpers under way, with their times.
    answers: Vec<(u64, bool)>,
    rounds: usize,
    vacant_since: Option<u64>,
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
