use super::{Sample, Settings, Subject};
use hyssop_model::prelude::*;
use hyssop_wire::health::Report;

/// Judges instances by this entry's samples and by what other observers tell.
#[derive(Debug)]
pub struct Monitor {
    settings: Settings,
    subjects: BTreeMap<instance::Key, Subject>,
    opinions: BTreeMap<entry::Id, (Instant, BTreeSet<instance::Key>)>,
    /// The most instances of a pool that may be ejected.
    bounds: BTreeMap<String, usize>,
}

impl Monitor {
    /// Makes a monitor without instances.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            subjects: BTreeMap::new(),
            opinions: BTreeMap::new(),
            bounds: BTreeMap::new(),
        }
    }

    /// Takes in the pool of an instance.
    pub fn insert(&mut self, key: instance::Key, pool: &str) {
        let subject = self
            .subjects
            .entry(key)
            .or_insert_with(|| Subject::new(pool, &self.settings));
        subject.pool = pool.to_owned();
    }

    /// Sets the most instances of `pool` that may be ejected.
    pub fn set_bound(&mut self, pool: &str, most: usize) {
        self.bounds.insert(pool.to_owned(), most);
    }

    /// Takes in what a request showed.
    pub fn observe(&mut self, key: instance::Key, sample: Sample) {
        if let Some(subject) = self.subjects.get_mut(&key) {
            subject.observe(sample);
        }
    }

    /// Takes in what a probe showed.
    pub fn probe(&mut self, key: instance::Key, sample: Sample) {
        if let Some(subject) = self.subjects.get_mut(&key) {
            subject.probe(sample);
        }
    }

    /// Takes in the opinions of a peer.
    pub fn hear(&mut self, now: Instant, from: entry::Id, report: &Report) {
        if report.is_suspect {
            self.opinions.remove(&from);
            return;
        }
        let failing = report.failing.iter().copied().collect();
        self.opinions.insert(from, (now, failing));
    }

    /// Returns this entry's own opinions.
    pub fn report(&self) -> Report {
        let failing = self
            .subjects
            .iter()
            .filter(|(_, subject)| subject.is_failing);
        Report {
            failing: failing.map(|(key, _)| *key).collect(),
            is_suspect: self.is_suspect(),
        }
    }

    /// Tells whether requests are kept away from an instance.
    pub fn is_ejected(&self, key: instance::Key) -> bool {
        self.subjects
            .get(&key)
            .is_some_and(|subject| subject.is_ejected)
    }

    /// Returns the ejected instances.
    pub fn ejected(&self) -> Vec<instance::Key> {
        let ejected = self
            .subjects
            .iter()
            .filter(|(_, subject)| subject.is_ejected);
        ejected.map(|(key, _)| *key).collect()
    }

    /// Judges all instances anew and returns those that requests may now, or may no longer, reach.
    pub fn tick(&mut self, now: Instant) -> Vec<(instance::Key, bool)> {
        self.judge();
        let life = self.settings.opinion_life;
        self.opinions.retain(|_, (told, _)| *told + life > now);
        let mut changes = self.return_recovered(now);
        changes.extend(self.eject_failing(now));
        changes
    }

    fn judge(&mut self) {
        let averages = self.averages();
        for subject in self.subjects.values_mut() {
            let (rate, time) = averages.get(&subject.pool).copied().unwrap_or((1.0, 0.0));
            subject.is_failing = subject.judge(&self.settings, rate, time);
            subject.settle(&self.settings);
        }
    }

    /// Returns the success rate and the middle probe time of each pool.
    fn averages(&self) -> BTreeMap<String, (f64, f64)> {
        let mut by_pool: BTreeMap<&str, Vec<&Subject>> = BTreeMap::new();
        for subject in self.subjects.values() {
            by_pool.entry(&subject.pool).or_default().push(subject);
        }
        let averages = by_pool.into_iter().map(|(pool, subjects)| {
            let rate =
                subjects.iter().map(|subject| subject.rate).sum::<f64>() / subjects.len() as f64;
            let mut times: Vec<f64> = subjects
                .iter()
                .filter_map(|subject| subject.probe_time)
                .collect();
            times.sort_by(f64::total_cmp);
            let time = times.get(times.len() / 2).copied().unwrap_or(0.0);
            (pool.to_owned(), (rate, time))
        });
        averages.collect()
    }

    /// Tells whether so many instances seem to fail that the fault is more likely here.
    fn is_suspect(&self) -> bool {
        const LEAST_OBSERVED: usize = 4;
        let observed = self.subjects.len();
        let failing = self
            .subjects
            .values()
            .filter(|subject| subject.is_failing)
            .count();
        observed >= LEAST_OBSERVED && failing as f64 > observed as f64 * self.settings.suspect_part
    }

    fn return_recovered(&mut self, now: Instant) -> Vec<(instance::Key, bool)> {
        let mut changes = Vec::new();
        for (key, subject) in &mut self.subjects {
            if subject.is_ejected && subject.may_return(now) {
                subject.put_on_trial(&self.settings);
                changes.push((*key, true));
            }
        }
        changes
    }

    fn eject_failing(&mut self, now: Instant) -> Vec<(instance::Key, bool)> {
        let is_suspect = self.is_suspect();
        let mut ejected: BTreeMap<String, usize> = BTreeMap::new();
        for subject in self.subjects.values().filter(|subject| subject.is_ejected) {
            *ejected.entry(subject.pool.clone()).or_default() += 1;
        }
        let mut changes = Vec::new();
        for (key, subject) in &mut self.subjects {
            let agreeing = self
                .opinions
                .values()
                .filter(|(_, failing)| failing.contains(key))
                .count();
            let is_condemned =
                (subject.is_failing && !is_suspect) || agreeing >= self.settings.quorum;
            if subject.is_ejected || !is_condemned {
                continue;
            }
            let bound = self.bounds.get(&subject.pool).copied().unwrap_or(1);
            let count = ejected.entry(subject.pool.clone()).or_default();
            if *count < bound {
                *count += 1;
                subject.eject(now, &self.settings);
                changes.push((*key, false));
            }
        }
        changes
    }
}
