use super::{Sample, Settings, Target};
use hyssop_model::prelude::*;
use hyssop_wire::health::Report;

/// Ejects failing instances and readmits them after recovery, by this entry's own samples and by
/// the reports of peers.
#[derive(Debug)]
pub struct Monitor {
    settings: Settings,
    targets: BTreeMap<instance::Key, Target>,
    /// The latest report of each peer: when it arrived, and the instances that it found failing.
    peer_reports: BTreeMap<entry::Id, (Instant, BTreeSet<instance::Key>)>,
    /// The maximum number of ejected instances by pool.
    max_ejected: BTreeMap<String, usize>,
}

impl Monitor {
    /// Creates a monitor without instances.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            targets: BTreeMap::new(),
            peer_reports: BTreeMap::new(),
            max_ejected: BTreeMap::new(),
        }
    }

    /// Adds an instance, or updates its pool.
    pub fn insert(&mut self, key: instance::Key, pool: &str) {
        let target = self
            .targets
            .entry(key)
            .or_insert_with(|| Target::new(pool, &self.settings));
        target.pool = pool.to_owned();
    }

    /// Sets the maximum number of ejected instances of `pool`.
    pub fn set_max_ejected(&mut self, pool: &str, count: usize) {
        self.max_ejected.insert(pool.to_owned(), count);
    }

    /// Records the result of a request.
    pub fn observe(&mut self, key: instance::Key, sample: Sample) {
        if let Some(target) = self.targets.get_mut(&key) {
            target.observe(sample);
        }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, key: instance::Key, sample: Sample) {
        if let Some(target) = self.targets.get_mut(&key) {
            target.record_probe(sample);
        }
    }

    /// Handles the health report of a peer. The report of a peer that suspects itself is discarded.
    pub fn on_peer_report(&mut self, now: Instant, from: entry::Id, report: &Report) {
        if report.is_suspect {
            self.peer_reports.remove(&from);
            return;
        }
        let failing = report.failing.iter().copied().collect();
        self.peer_reports.insert(from, (now, failing));
    }

    /// Returns the health report of this entry.
    pub fn report(&self) -> Report {
        let failing = self.targets.iter().filter(|(_, target)| target.is_failing);
        Report {
            failing: failing.map(|(key, _)| *key).collect(),
            is_suspect: self.is_suspect(),
        }
    }

    /// Returns whether an instance is ejected.
    pub fn is_ejected(&self, key: instance::Key) -> bool {
        self.targets
            .get(&key)
            .is_some_and(|target| target.is_ejected)
    }

    /// Returns the ejected instances.
    pub fn ejected(&self) -> Vec<instance::Key> {
        let ejected = self.targets.iter().filter(|(_, target)| target.is_ejected);
        ejected.map(|(key, _)| *key).collect()
    }

    /// Reevaluates all instances. Returns those whose state changed, with `true` for readmitted and
    /// `false` for ejected ones.
    pub fn tick(&mut self, now: Instant) -> Vec<(instance::Key, bool)> {
        self.evaluate();
        let ttl = self.settings.peer_report_ttl;
        self.peer_reports
            .retain(|_, (received_at, _)| *received_at + ttl > now);
        let mut changes = self.readmit_recovered(now);
        changes.extend(self.eject_failing(now));
        changes
    }

    fn evaluate(&mut self) {
        let averages = self.averages();
        for target in self.targets.values_mut() {
            let (rate, time_s) = averages.get(&target.pool).copied().unwrap_or((1.0, 0.0));
            target.is_failing = target.is_unhealthy(&self.settings, rate, time_s);
            target.reset_backoff(&self.settings);
        }
    }

    /// Returns the mean success rate and the median probe time, in seconds, of each pool.
    fn averages(&self) -> BTreeMap<String, (f64, f64)> {
        let mut by_pool: BTreeMap<&str, Vec<&Target>> = BTreeMap::new();
        for target in self.targets.values() {
            by_pool.entry(&target.pool).or_default().push(target);
        }
        let averages = by_pool.into_iter().map(|(pool, targets)| {
            let rate = targets.iter().map(|target| target.rate).sum::<f64>() / targets.len() as f64;
            let mut times_s: Vec<f64> = targets
                .iter()
                .filter_map(|target| target.probe_time)
                .collect();
            times_s.sort_by(f64::total_cmp);
            let time_s = times_s.get(times_s.len() / 2).copied().unwrap_or(0.0);
            (pool.to_owned(), (rate, time_s))
        });
        averages.collect()
    }

    /// Returns whether so many instances seem to fail that the fault is more likely in this entry.
    fn is_suspect(&self) -> bool {
        const MIN_OBSERVED: usize = 4;
        let observed = self.targets.len();
        let failing = self
            .targets
            .values()
            .filter(|target| target.is_failing)
            .count();
        observed >= MIN_OBSERVED
            && failing as f64 > observed as f64 * self.settings.suspect_fraction
    }

    fn readmit_recovered(&mut self, now: Instant) -> Vec<(instance::Key, bool)> {
        let mut changes = Vec::new();
        for (key, target) in &mut self.targets {
            if target.is_ejected && target.is_recovered(now) {
                target.start_probation(&self.settings);
                changes.push((*key, true));
            }
        }
        changes
    }

    fn eject_failing(&mut self, now: Instant) -> Vec<(instance::Key, bool)> {
        let is_suspect = self.is_suspect();
        let mut ejected: BTreeMap<String, usize> = BTreeMap::new();
        for target in self.targets.values().filter(|target| target.is_ejected) {
            *ejected.entry(target.pool.clone()).or_default() += 1;
        }
        let mut changes = Vec::new();
        for (key, target) in &mut self.targets {
            let agreeing = self
                .peer_reports
                .values()
                .filter(|(_, failing)| failing.contains(key))
                .count();
            let needs_ejection =
                (target.is_failing && !is_suspect) || agreeing >= self.settings.quorum;
            if target.is_ejected || !needs_ejection {
                continue;
            }
            let max = self.max_ejected.get(&target.pool).copied().unwrap_or(1);
            let count = ejected.entry(target.pool.clone()).or_default();
            if *count < max {
                *count += 1;
                target.eject(now, &self.settings);
                changes.push((*key, false));
            }
        }
        changes
    }
}
