use super::load::Load;
use super::Parameters;
use crate::check::{Sampler, Violations};
use crate::cluster::{Cluster, Options};
use crate::error::{Error, FileSnafu, SystemSnafu};
use crate::report::{print_rows, print_summaries, print_violations, write_json};
use hyssop_config::fleet::{Fleet, Pool};
use hyssop_event::Kind;
use hyssop_load::stream::Keys;
use hyssop_load::{Balancer, Shape, Stream, Summary};
use hyssop_model::class::Class;
use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use snafu::ResultExt;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The result of checking one guarantee of the requirements.
#[derive(Debug, Serialize)]
struct GuaranteeCheck {
    #[serde(rename = "promise")]
    guarantee: String,
    is_kept: bool,
    #[serde(rename = "seen")]
    observed: String,
}

/// A fault or an operator action, injected at a random time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Disturbance {
    LoseRack,
    RebootInstance,
    FailInstance,
    HangInstance,
    SlowInstance,
    HealInstances,
    StartWave,
    KillEntry,
    PauseEntry,
    ResumeEntry,
    ReplaceEntry,
    StoreDown,
    StoreSlow,
    StoreLoses,
    RaceOperators,
}

const ENTRIES: usize = 7;
const LOAD_DURATION: Duration = Duration::from_secs(90);
const RECOVERY_DURATION: Duration = Duration::from_secs(25);
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// A running storm.
struct Storm {
    cluster: Cluster,
    balancer: Balancer,
    random: ChaCha8Rng,
    paused: Option<usize>,
    /// The instances with unplanned faults.
    faulted: BTreeSet<String>,
    is_graceful: bool,
    races: Vec<(i32, i32)>,
}

/// Runs load and randomly scheduled disturbances together and checks every guarantee of the
/// requirements.
pub(crate) fn storm(parameters: &Parameters) -> Result<bool, Error> {
    let config_text = std::fs::read_to_string(&parameters.config).context(FileSnafu {
        path: &parameters.config,
    })?;
    let fleet = Fleet::parse(&parameters.config, &config_text)
        .map_err(|source| Error::Config { source })?;
    let cluster = Cluster::start(Options {
        config: parameters.config.clone(),
        entries: ENTRIES,
        reboot_ms: 1000,
        ..Options::default()
    })?;
    let balancer = cluster.balancer();
    balancer.watch().context(SystemSnafu)?;
    let streams = streams(&fleet);
    let load = Load::start(&streams, &balancer, LOAD_DURATION, parameters.seed)?;
    let sampler = Sampler::start(&cluster, &fleet)?;
    let mut storm = Storm {
        cluster,
        balancer,
        random: ChaCha8Rng::seed_from_u64(parameters.seed),
        paused: None,
        faulted: BTreeSet::new(),
        is_graceful: true,
        races: Vec::new(),
    };
    storm.run_schedule(&config_text)?;
    let records = load.finish();
    let samples = sampler.finish();
    print_summaries(&Summary::by_stream(&streams, &records));
    let mut violations = Violations::check(&storm.cluster, &records)?;
    violations.check_posts(&storm.cluster, &records, |stream| {
        streams[stream].method == "POST" && streams[stream].keys == Keys::None
    })?;
    let checks = storm.check(&violations, &samples)?;
    let rows = checks.iter().map(|check| {
        let verdict = if check.is_kept { "kept" } else { "BROKEN" };
        vec![
            check.guarantee.clone(),
            verdict.to_owned(),
            check.observed.clone(),
        ]
    });
    print_rows(&["promise", "", "seen"], rows);
    write_json(&format!("storm-{}", parameters.seed), &checks)?;
    let has_passed = checks.iter().all(|check| check.is_kept);
    if !has_passed {
        print_violations(&violations);
        storm.print_timeline(&violations);
        println!("logs: {}", storm.cluster.directory.display());
    }
    storm.cluster.stop();
    Ok(has_passed)
}

/// Returns streams of all classes and kinds of idempotency key for every pool, and two floods.
fn streams(fleet: &Fleet) -> Vec<Stream> {
    const RATE: f64 = 15.0;
    let mut streams = Vec::new();
    for pool in &fleet.pools {
        let queue = pool
            .queues
            .get(1)
            .map_or(Pool::DEFAULT_QUEUE, |queue| &queue.name);
        for class in [Class::Urgent, Class::Normal, Class::Deferrable] {
            let mut stream = Stream::new(&pool.name, queue, "/work?ms=100", Shape::constant(RATE));
            stream.name = format!("{} {class}", pool.name);
            stream.class = class;
            streams.push(stream);
        }
        for (name, keys) in [
            ("unbound", Keys::Unbound),
            ("bound", Keys::Bound),
            ("no key", Keys::None),
        ] {
            let mut stream = Stream::new(
                &pool.name,
                queue,
                "/work?ms=100",
                Shape::constant(RATE / 2.0),
            );
            stream.name = format!("{} {name}", pool.name);
            stream.method = "POST".to_owned();
            stream.keys = keys;
            stream.deadline = Duration::from_secs(6);
            streams.push(stream);
        }
    }
    for (class, at) in [(Class::Deferrable, 20), (Class::Urgent, 45)] {
        let pool = &fleet.pools[0];
        let shape = Shape {
            steps: vec![
                (Duration::from_secs(at), 0.0),
                (Duration::from_secs(8), 2000.0),
            ],
            is_repeated: false,
        };
        let mut stream = Stream::new(&pool.name, Pool::DEFAULT_QUEUE, "/work?ms=100", shape);
        stream.name = format!("flood {class}");
        stream.class = class;
        streams.push(stream);
    }
    streams
}

impl Storm {
    /// Applies every disturbance at its time and clears the faults before the final recovery
    /// period.
    fn run_schedule(&mut self, config_text: &str) -> Result<(), Error> {
        let started = Instant::now();
        for (at, disturbance) in self.schedule() {
            std::thread::sleep(at.saturating_sub(started.elapsed()));
            println!("{:5.1} s {disturbance:?}", started.elapsed().as_secs_f64());
            self.apply(disturbance, config_text)?;
        }
        Ok(())
    }

    fn schedule(&mut self) -> Vec<(Duration, Disturbance)> {
        let disturbances = [
            Disturbance::LoseRack,
            Disturbance::RebootInstance,
            Disturbance::RebootInstance,
            Disturbance::FailInstance,
            Disturbance::HangInstance,
            Disturbance::SlowInstance,
            Disturbance::StartWave,
            Disturbance::KillEntry,
            Disturbance::PauseEntry,
            Disturbance::ReplaceEntry,
            Disturbance::StoreDown,
            Disturbance::StoreSlow,
            Disturbance::StoreLoses,
            Disturbance::RaceOperators,
            Disturbance::RaceOperators,
        ];
        let latest_ms = (LOAD_DURATION - RECOVERY_DURATION).as_millis() as u64;
        let mut schedule = Vec::new();
        for disturbance in disturbances {
            let at = Duration::from_millis(self.random.random_range(2000..latest_ms));
            schedule.push((at, disturbance));
            if disturbance == Disturbance::PauseEntry {
                schedule.push((at + Duration::from_secs(12), Disturbance::ResumeEntry));
            }
        }
        schedule.push((
            LOAD_DURATION - RECOVERY_DURATION,
            Disturbance::HealInstances,
        ));
        schedule.push((LOAD_DURATION - RECOVERY_DURATION, Disturbance::ResumeEntry));
        schedule.sort();
        schedule
    }

    fn apply(&mut self, disturbance: Disturbance, config_text: &str) -> Result<(), Error> {
        match disturbance {
            Disturbance::LoseRack => self.lose_rack(),
            Disturbance::RebootInstance => {
                let name = self.pick_instance()?;
                let url = format!("{}/instances/{name}/reboot", self.cluster.servers.url);
                self.cluster.post(&url, "").map(|_| ())
            }
            Disturbance::FailInstance => self.inject_fault("fail"),
            Disturbance::HangInstance => self.inject_fault("hang"),
            Disturbance::SlowInstance => self.inject_fault("slow"),
            Disturbance::HealInstances => self.clear_faults(),
            Disturbance::StartWave => {
                let data_centre = &self.cluster.machines.data_centres[0];
                let body = format!(
                    "{{\"scope\":{{\"kind\":\"data-centre\",\"name\":{data_centre:?}}},\"author\":\"storm\",\"within_ms\":3600000}}"
                );
                // The store may be down; an operator would retry.
                let _ = self
                    .cluster
                    .post(&format!("{}/v1/operator/wave", self.operator_url()), &body);
                Ok(())
            }
            Disturbance::KillEntry => self.kill_entry(),
            Disturbance::PauseEntry => {
                let index = self.random.random_range(0..self.cluster.entries.len());
                self.cluster.entries[index].signal(Signal::SIGSTOP);
                self.paused = Some(index);
                Ok(())
            }
            Disturbance::ResumeEntry => {
                if let Some(index) = self.paused.take() {
                    self.cluster.entries[index].signal(Signal::SIGCONT);
                }
                Ok(())
            }
            Disturbance::ReplaceEntry => self.replace_entry(),
            Disturbance::StoreDown => self.cluster.platform_fault("kind=down&ms=30000"),
            Disturbance::StoreSlow => self.cluster.platform_fault("kind=slow&ms=8000"),
            Disturbance::StoreLoses => self.cluster.platform_fault("kind=lose&ms=8000"),
            Disturbance::RaceOperators => self.race_operators(config_text),
        }
    }

    /// Returns the URL of an entry that is not paused.
    fn operator_url(&self) -> String {
        let mut entries = self.cluster.entries.iter().enumerate();
        let entry = entries.find(|(index, _)| Some(*index) != self.paused);
        entry.map_or(String::new(), |(_, entry)| entry.url.clone())
    }

    fn pick_instance(&mut self) -> Result<String, Error> {
        let views = self.cluster.views()?;
        let index = self.random.random_range(0..views.len());
        let name = views[index].name.clone();
        self.faulted.insert(name.clone());
        Ok(name)
    }

    fn inject_fault(&mut self, kind: &str) -> Result<(), Error> {
        let name = self.pick_instance()?;
        self.cluster.instance_fault(&name, kind)
    }

    fn lose_rack(&mut self) -> Result<(), Error> {
        let views = self.cluster.views()?;
        let rack = views[self.random.random_range(0..views.len())].rack.clone();
        for view in views.iter().filter(|view| view.rack == rack) {
            self.faulted.insert(view.name.clone());
            self.cluster.instance_fault(&view.name, "refuse")?;
        }
        Ok(())
    }

    fn clear_faults(&self) -> Result<(), Error> {
        for name in &self.faulted {
            self.cluster.instance_fault(name, "none")?;
        }
        self.cluster.platform_fault("kind=none")
    }

    /// Returns the position of an entry that is not paused.
    fn pick_entry(&mut self) -> usize {
        loop {
            let index = self.random.random_range(0..self.cluster.entries.len());
            if Some(index) != self.paused {
                return index;
            }
        }
    }

    fn kill_entry(&mut self) -> Result<(), Error> {
        let index = self.pick_entry();
        let mut entry = self.remove_entry(index);
        entry.signal(Signal::SIGKILL);
        entry.wait(Duration::from_secs(1));
        self.add_entry()
    }

    /// Replaces an entry gracefully and waits for it to exit.
    fn replace_entry(&mut self) -> Result<(), Error> {
        self.add_entry()?;
        let index = self.pick_entry();
        let mut entry = self.remove_entry(index);
        entry.signal(Signal::SIGTERM);
        self.is_graceful &= entry.wait(STOP_TIMEOUT);
        Ok(())
    }

    fn remove_entry(&mut self, index: usize) -> crate::process::Child {
        if let Some(paused) = self.paused.filter(|paused| *paused > index) {
            self.paused = Some(paused - 1);
        }
        self.cluster.entries.remove(index)
    }

    fn add_entry(&mut self) -> Result<(), Error> {
        let address = self.cluster.add_entry()?;
        self.balancer.add(address);
        Ok(())
    }

    /// Proposes changes to the same version as two concurrent operators.
    fn race_operators(&mut self, config_text: &str) -> Result<(), Error> {
        let url = self.operator_url();
        let response: serde_json::Value =
            match self.cluster.get(&format!("{url}/v1/operator/config")) {
                Ok(response) => response,
                // No configuration can be changed while the store is down.
                Err(_) => return Ok(()),
            };
        let expect = response["head"]["accepted"]["number"].as_u64().unwrap_or(0);
        let seconds = self.random.random_range(61..300);
        let changed = config_text.replacen(
            "move_interval = 60s",
            &format!("move_interval = {seconds}s"),
            1,
        );
        let propose = |author: &str| {
            let url = format!("{url}/v1/operator/config?expect={expect}&author={author}");
            self.cluster
                .post(&url, &changed)
                .map_or(0, |(status, _)| status)
        };
        let statuses = std::thread::scope(|scope| {
            let second = scope.spawn(|| propose("second"));
            (propose("first"), second.join().unwrap_or(0))
        });
        self.races.push(statuses);
        Ok(())
    }

    /// Checks the guarantees in the order of the requirements.
    fn check(
        &self,
        violations: &Violations,
        samples: &crate::check::Samples,
    ) -> Result<Vec<GuaranteeCheck>, Error> {
        let views = self.cluster.views()?;
        let planned = views
            .iter()
            .filter(|view| !self.faulted.contains(&view.name));
        let planned_cut_off: u64 = planned.map(|view| view.cut_off).sum();
        let (in_force, reversions) = self.versions();
        let double_wins = self
            .races
            .iter()
            .filter(|statuses| **statuses == (202, 202))
            .count();
        let check = |guarantee: &str, is_kept: bool, observed: String| GuaranteeCheck {
            guarantee: guarantee.to_owned(),
            is_kept,
            observed,
        };
        Ok(vec![
            check(
                "every pool's availability budget holds",
                samples.below_budget == 0,
                format!("{} samples, {} below", samples.count, samples.below_budget),
            ),
            check(
                "an instance belongs to exactly one pool",
                samples.row_mismatches == 0,
                format!("{} samples with missing or duplicate instances", samples.row_mismatches),
            ),
            check(
                "every caller gets the whole answer to its own request",
                violations.wrong_answers == 0 && violations.answered_but_not_run == 0,
                format!("{} of another request, {} fabricated", violations.wrong_answers, violations.answered_but_not_run),
            ),
            check(
                "what is told not to have run did not run",
                violations.not_run_but_ran == 0,
                format!("{} ran", violations.not_run_but_ran),
            ),
            check(
                "a non-idempotent request runs at most once",
                violations.keys_run_twice == 0 && violations.posts_run_twice == 0,
                format!("{} keys, {} without key", violations.keys_run_twice, violations.posts_run_twice),
            ),
            check(
                "a leaving backend server receives no new work",
                samples.started_while_out == 0,
                format!("{} starts while out of service", samples.started_while_out),
            ),
            check(
                "a planned stop cuts off no request",
                planned_cut_off == 0 && self.is_graceful,
                format!("{planned_cut_off} cut off; the replaced entry exited cleanly: {}", self.is_graceful),
            ),
            check(
                "an accepted configuration is in force everywhere and never reverts",
                reversions == 0 && in_force.len() <= 1 && double_wins == 0,
                format!("in force at the end: {in_force:?}; {reversions} reversions; {double_wins} races won by both"),
            ),
            check(
                "no instance is over-used",
                violations.over_slots == 0 && violations.over_connections == 0,
                format!("{} over slots, {} over connections", violations.over_slots, violations.over_connections),
            ),
        ])
    }

    /// Returns the versions in force at the end and the number of reversions.
    fn versions(&self) -> (BTreeSet<u64>, usize) {
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        let mut reversions = 0;
        for event in self
            .cluster
            .events()
            .iter()
            .filter(|event| event.kind == Kind::ConfigInForce)
        {
            let version = event
                .field("version")
                .and_then(|version| version.parse().ok())
                .unwrap_or(0);
            let old = last.insert(event.process.clone(), version);
            reversions += usize::from(old.is_some_and(|old| old >= version));
        }
        (last.into_values().collect(), reversions)
    }

    /// Prints the events of the requests that violated a guarantee.
    fn print_timeline(&self, violations: &Violations) {
        let events = self.cluster.events();
        for example in &violations.examples {
            println!("timeline of {example}");
            let request = example
                .split(' ')
                .find_map(|part| part.strip_prefix("request="));
            for event in events
                .iter()
                .filter(|event| event.field("request") == request)
            {
                println!(
                    "  {} {} {}{}",
                    event.stamp,
                    event.process,
                    event.kind,
                    event.pairs()
                );
            }
        }
    }
}
