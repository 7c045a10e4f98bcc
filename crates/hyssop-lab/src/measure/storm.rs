use super::load::Load;
use super::Call;
use crate::check::{Promises, Sampler};
use crate::cluster::{Cluster, Options};
use crate::error::{Error, FileSnafu, SystemSnafu};
use crate::report::{print_promises, print_rows, print_summaries, write_json};
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

/// Is one promise of the brief with what was seen of it.
#[derive(Debug, Serialize)]
struct Checked {
    promise: String,
    is_kept: bool,
    seen: String,
}

/// Is what the storm does, at a time drawn from the seed.
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
const LENGTH: Duration = Duration::from_secs(90);
const CALM_AT_END: Duration = Duration::from_secs(25);
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Is a storm under way.
struct Storm {
    cluster: Cluster,
    balancer: Balancer,
    random: ChaCha8Rng,
    paused: Option<usize>,
    /// The instances hit by faults that are not planned.
    hit: BTreeSet<String>,
    is_graceful: bool,
    races: Vec<(i32, i32)>,
}

/// Runs everything at once, from the seed, and checks the brief's promises one by one.
pub(crate) fn storm(call: &Call) -> Result<bool, Error> {
    let text = std::fs::read_to_string(&call.config).context(FileSnafu { path: &call.config })?;
    let fleet = Fleet::parse(&call.config, &text).map_err(|source| Error::Config { source })?;
    let cluster = Cluster::start(Options {
        config: call.config.clone(),
        entries: ENTRIES,
        reboot_ms: 1000,
        ..Options::default()
    })?;
    let balancer = cluster.balancer();
    balancer.watch().context(SystemSnafu)?;
    let streams = streams(&fleet);
    let load = Load::start(&streams, &balancer, LENGTH, call.seed)?;
    let sampler = Sampler::start(&cluster, &fleet)?;
    let mut storm = Storm {
        cluster,
        balancer,
        random: ChaCha8Rng::seed_from_u64(call.seed),
        paused: None,
        hit: BTreeSet::new(),
        is_graceful: true,
        races: Vec::new(),
    };
    storm.run_schedule(&text)?;
    let records = load.finish();
    let samples = sampler.finish();
    print_summaries(&Summary::by_stream(&streams, &records));
    let mut promises = Promises::check(&storm.cluster, &records)?;
    promises.check_posts(&storm.cluster, &records, |stream| {
        streams[stream].method == "POST" && streams[stream].keys == Keys::None
    })?;
    let checked = storm.check(&promises, &samples)?;
    let rows = checked.iter().map(|checked| {
        let verdict = if checked.is_kept { "kept" } else { "BROKEN" };
        vec![
            checked.promise.clone(),
            verdict.to_owned(),
            checked.seen.clone(),
        ]
    });
    print_rows(&["promise", "", "seen"], rows);
    write_json(&format!("storm-{}", call.seed), &checked)?;
    let is_good = checked.iter().all(|checked| checked.is_kept);
    if !is_good {
        print_promises(&promises);
        storm.print_time_line(&promises);
        println!("logs: {}", storm.cluster.directory.display());
    }
    storm.cluster.stop();
    Ok(is_good)
}

/// Returns load of all classes and kinds of key on every pool, and two floods.
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
    /// Carries out every act at its time, then lets the system settle.
    fn run_schedule(&mut self, text: &str) -> Result<(), Error> {
        let started = Instant::now();
        for (at, act) in self.schedule() {
            std::thread::sleep(at.saturating_sub(started.elapsed()));
            println!("{:5.1} s {act:?}", started.elapsed().as_secs_f64());
            self.carry_out(act, text)?;
        }
        Ok(())
    }

    fn schedule(&mut self) -> Vec<(Duration, Disturbance)> {
        let acts = [
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
        let last_ms = (LENGTH - CALM_AT_END).as_millis() as u64;
        let mut schedule = Vec::new();
        for act in acts {
            let at = Duration::from_millis(self.random.random_range(2000..last_ms));
            schedule.push((at, act));
            if act == Disturbance::PauseEntry {
                schedule.push((at + Duration::from_secs(12), Disturbance::ResumeEntry));
            }
        }
        schedule.push((LENGTH - CALM_AT_END, Disturbance::HealInstances));
        schedule.push((LENGTH - CALM_AT_END, Disturbance::ResumeEntry));
        schedule.sort();
        schedule
    }

    fn carry_out(&mut self, act: Disturbance, text: &str) -> Result<(), Error> {
        match act {
            Disturbance::LoseRack => self.lose_rack(),
            Disturbance::RebootInstance => {
                let name = self.any_instance()?;
                let url = format!("{}/instances/{name}/reboot", self.cluster.servers.url);
                self.cluster.post(&url, "").map(|_| ())
            }
            Disturbance::FailInstance => self.fault("fail"),
            Disturbance::HangInstance => self.fault("hang"),
            Disturbance::SlowInstance => self.fault("slow"),
            Disturbance::HealInstances => self.heal(),
            Disturbance::StartWave => {
                let data_centre = &self.cluster.machines.data_centres[0];
                let body = format!(
                    "{{\"scope\":{{\"kind\":\"data-centre\",\"name\":{data_centre:?}}},\"author\":\"storm\",\"within_ms\":3600000}}"
                );
                // The store may be down; an operator would repeat it.
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
            Disturbance::RaceOperators => self.race(text),
        }
    }

    /// Returns the URL of an entry that is not paused.
    fn operator_url(&self) -> String {
        let mut entries = self.cluster.entries.iter().enumerate();
        let entry = entries.find(|(index, _)| Some(*index) != self.paused);
        entry.map_or(String::new(), |(_, entry)| entry.url.clone())
    }

    fn any_instance(&mut self) -> Result<String, Error> {
        let views = self.cluster.views()?;
        let index = self.random.random_range(0..views.len());
        let name = views[index].name.clone();
        self.hit.insert(name.clone());
        Ok(name)
    }

    fn fault(&mut self, kind: &str) -> Result<(), Error> {
        let name = self.any_instance()?;
        self.cluster.instance_fault(&name, kind)
    }

    fn lose_rack(&mut self) -> Result<(), Error> {
        let views = self.cluster.views()?;
        let rack = views[self.random.random_range(0..views.len())].rack.clone();
        for view in views.iter().filter(|view| view.rack == rack) {
            self.hit.insert(view.name.clone());
            self.cluster.instance_fault(&view.name, "refuse")?;
        }
        Ok(())
    }

    fn heal(&self) -> Result<(), Error> {
        for name in &self.hit {
            self.cluster.instance_fault(name, "none")?;
        }
        self.cluster.platform_fault("kind=none")
    }

    /// Returns the position of an entry that is not paused.
    fn any_entry(&mut self) -> usize {
        loop {
            let index = self.random.random_range(0..self.cluster.entries.len());
            if Some(index) != self.paused {
                return index;
            }
        }
    }

    fn kill_entry(&mut self) -> Result<(), Error> {
        let index = self.any_entry();
        let mut entry = self.take_entry(index);
        entry.signal(Signal::SIGKILL);
        entry.wait(Duration::from_secs(1));
        self.add_entry()
    }

    /// Replaces an entry gracefully; its end is waited for beside the storm's other acts.
    fn replace_entry(&mut self) -> Result<(), Error> {
        self.add_entry()?;
        let index = self.any_entry();
        let mut entry = self.take_entry(index);
        entry.signal(Signal::SIGTERM);
        self.is_graceful &= entry.wait(STOP_TIMEOUT);
        Ok(())
    }

    fn take_entry(&mut self, index: usize) -> crate::process::Child {
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

    /// Lets two operators change the same version at once.
    fn race(&mut self, text: &str) -> Result<(), Error> {
        let url = self.operator_url();
        let shown: serde_json::Value = match self.cluster.get(&format!("{url}/v1/operator/config"))
        {
            Ok(shown) => shown,
            // The store is down; nobody can change anything.
            Err(_) => return Ok(()),
        };
        let expect = shown["head"]["accepted"]["number"].as_u64().unwrap_or(0);
        let seconds = self.random.random_range(61..300);
        let changed = text.replacen(
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

    /// Checks the brief's promises, in its order.
    fn check(
        &self,
        promises: &Promises,
        samples: &crate::check::Samples,
    ) -> Result<Vec<Checked>, Error> {
        let views = self.cluster.views()?;
        let planned = views.iter().filter(|view| !self.hit.contains(&view.name));
        let planned_cut_off: u64 = planned.map(|view| view.cut_off).sum();
        let (in_force, reversions) = self.versions();
        let both_won = self
            .races
            .iter()
            .filter(|race| **race == (202, 202))
            .count();
        let checked = |promise: &str, is_kept: bool, seen: String| Checked {
            promise: promise.to_owned(),
            is_kept,
            seen,
        };
        Ok(vec![
            checked(
                "every pool's availability budget holds",
                samples.below_budget == 0,
                format!("{} samples, {} below", samples.count, samples.below_budget),
            ),
            checked(
                "an instance belongs to exactly one pool",
                samples.wrong_rows == 0,
                format!("{} samples with missing or doubled instances", samples.wrong_rows),
            ),
            checked(
                "every caller gets the whole answer to its own request",
                promises.wrong_answers == 0 && promises.answered_but_not_run == 0,
                format!("{} wrong, {} made up", promises.wrong_answers, promises.answered_but_not_run),
            ),
            checked(
                "what is told not to have run did not run",
                promises.not_run_but_ran == 0,
                format!("{} ran", promises.not_run_but_ran),
            ),
            checked(
                "a non-idempotent request runs at most once",
                promises.keys_run_twice == 0 && promises.posts_run_twice == 0,
                format!("{} keys, {} without key", promises.keys_run_twice, promises.posts_run_twice),
            ),
            checked(
                "a leaving backend server receives no new work",
                samples.started_while_out == 0,
                format!("{} starts while out", samples.started_while_out),
            ),
            checked(
                "a planned stop cuts off no request",
                planned_cut_off == 0 && self.is_graceful,
                format!("{planned_cut_off} cut off; the replaced entry ended well: {}", self.is_graceful),
            ),
            checked(
                "an accepted configuration is in force everywhere and never reverts",
                reversions == 0 && in_force.len() <= 1 && both_won == 0,
                format!("in force at the end: {in_force:?}; {reversions} went back; {both_won} races won by both"),
            ),
            checked(
                "no instance is over-used",
                promises.over_slots == 0 && promises.over_connections == 0,
                format!("{} over slots, {} over connections", promises.over_slots, promises.over_connections),
            ),
        ])
    }

    /// Returns the versions in force at the end, and how often one went back.
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

    /// Prints the time line of the requests that broke a promise.
    fn print_time_line(&self, promises: &Promises) {
        let events = self.cluster.events();
        for example in &promises.examples {
            println!("time line of {example}");
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
