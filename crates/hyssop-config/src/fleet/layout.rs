use super::{Exception, Pool, Queue, Share, Team};
use crate::document::{Document, Section};
use crate::error::Error;
use crate::unit::{Bytes, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// A complete fleet configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// How pools share instances by default.
    pub share: Share,
    /// The pool that holds the shared buffer.
    pub spare: String,
    /// The maximum difference between the wall clocks of any two processes.
    pub clock_bound: Duration,
    /// The minimum time between two moves that the planner makes because of demand.
    pub move_interval: Duration,
    /// The pools in the order of the file.
    pub pools: Vec<Pool>,
    /// The teams in the order of the file.
    pub teams: Vec<Team>,
    /// The exceptions in the order of the file.
    pub exceptions: Vec<Exception>,
}

const DEFAULT_CLOCK_BOUND: Duration = Duration::from_millis(500);
const DEFAULT_MOVE_INTERVAL: Duration = Duration::from_secs(60);
const DEFAULT_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_QUEUE_BYTES: u64 = 16 << 20;
const MIN_REASON_CHARS: usize = 10;

impl Fleet {
    /// Parses and validates a configuration. Errors name `file` as its source.
    ///
    /// # Errors
    ///
    /// Fails with the first error found, with file, line and remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let mut document = Document::parse(file, text)?;
        let mut section = document.take("fleet")?;
        let share = section.take_or("share", Share::default())?;
        let spare: String = section.take("spare")?;
        let clock_bound = section.take_or("clock_bound", Span(DEFAULT_CLOCK_BOUND))?.0;
        let move_interval = section
            .take_or("move_interval", Span(DEFAULT_MOVE_INTERVAL))?
            .0;
        let pools = parse_pools(&mut document, share)?;
        if !pools.iter().any(|pool| pool.name == spare) {
            let remedy = "name a pool defined in the file, or add its [pool] section";
            return Err(section.invalid("spare", &spare, "there is no such pool", remedy));
        }
        section.finish()?;
        let teams = parse_teams(&mut document)?;
        let exceptions = parse_exceptions(&mut document, &pools)?;
        document.finish()?;
        let mut fleet = Self {
            share,
            spare,
            clock_bound,
            move_interval,
            pools,
            teams,
            exceptions,
        };
        fleet.apply_exceptions();
        Ok(fleet)
    }

    /// Returns the pool `name`, if there is one.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    fn apply_exceptions(&mut self) {
        for exception in &self.exceptions {
            let pool = self
                .pools
                .iter_mut()
                .find(|pool| pool.name == exception.pool);
            if let Some(pool) = pool {
                pool.share = exception.share;
            }
        }
    }
}

fn parse_pools(document: &mut Document, share: Share) -> Result<Vec<Pool>, Error> {
    let mut pools = Vec::new();
    for (name, section) in document.take_kind("pool") {
        pools.push(parse_pool(name, section, share)?);
    }
    for (full_name, section) in document.take_kind("queue") {
        parse_queue(&full_name, section, &mut pools)?;
    }
    Ok(pools)
}

fn parse_pool(name: String, mut section: Section, share: Share) -> Result<Pool, Error> {
    check_name("pool", &name, &section)?;
    let size: u32 = section.take("size")?;
    let budget: u32 = section.take("budget")?;
    if budget > size {
        let reason = format!("the pool has only {size} instances");
        let remedy = "lower the budget or raise `size`";
        return Err(section.invalid("budget", &budget.to_string(), &reason, remedy));
    }
    let pool = Pool {
        name,
        budget,
        size,
        share,
        survive_racks: section.take_or("survive_racks", 1)?,
        queue_bytes: section
            .take_or("queue_bytes", Bytes(DEFAULT_QUEUE_BYTES))?
            .0,
        answer_timeout: section
            .take_or("answer_timeout", Span(DEFAULT_ANSWER_TIMEOUT))?
            .0,
        queues: vec![Queue {
            name: Pool::DEFAULT_QUEUE.to_owned(),
            weight: 1,
        }],
    };
    section.finish()?;
    Ok(pool)
}

fn parse_queue(full_name: &str, mut section: Section, pools: &mut [Pool]) -> Result<(), Error> {
    let Some((pool_name, name)) = full_name.split_once(' ') else {
        let remedy = "write [queue POOL NAME]";
        return Err(section.invalid(
            "queue",
            full_name,
            "the section does not name a pool and a queue",
            remedy,
        ));
    };
    let weight: u32 = section.take_or("weight", 1)?;
    if weight == 0 {
        return Err(section.invalid(
            "weight",
            "0",
            "the queue would get no slots",
            "write at least 1",
        ));
    }
    let Some(pool) = pools.iter_mut().find(|pool| pool.name == pool_name) else {
        let remedy = "name a pool defined in the file";
        return Err(section.invalid("queue", full_name, "there is no such pool", remedy));
    };
    let name = name.trim();
    check_name("queue", name, &section)?;
    section.finish()?;
    pool.queues.retain(|queue| queue.name != name);
    pool.queues.push(Queue {
        name: name.to_owned(),
        weight,
    });
    Ok(())
}

fn parse_teams(document: &mut Document) -> Result<Vec<Team>, Error> {
    let mut teams = Vec::new();
    for (name, mut section) in document.take_kind("team") {
        let weight: u32 = section.take("weight")?;
        if weight == 0 {
            return Err(section.invalid(
                "weight",
                "0",
                "the team would get no workers",
                "write at least 1",
            ));
        }
        section.finish()?;
        teams.push(Team { name, weight });
    }
    Ok(teams)
}

fn parse_exceptions(document: &mut Document, pools: &[Pool]) -> Result<Vec<Exception>, Error> {
    let mut exceptions: Vec<Exception> = Vec::new();
    let mut pools_seen = BTreeSet::new();
    for (name, mut section) in document.take_kind("exception") {
        let pool: String = section.take("pool")?;
        let share = section.take("share")?;
        let reason: String = section.take("reason")?;
        if reason.chars().count() < MIN_REASON_CHARS {
            let remedy = "write a sentence that explains why the default does not fit";
            return Err(section.invalid("reason", &reason, "the reason is too short", remedy));
        }
        if !pools.iter().any(|known| known.name == pool) {
            let remedy = "name a pool defined in the file";
            return Err(section.invalid("pool", &pool, "there is no such pool", remedy));
        }
        if !pools_seen.insert(pool.clone()) {
            let remedy = "keep one exception per pool";
            return Err(section.invalid(
                "pool",
                &pool,
                "another exception already covers this pool",
                remedy,
            ));
        }
        section.finish()?;
        exceptions.push(Exception {
            name,
            pool,
            share,
            reason,
        });
    }
    Ok(exceptions)
}

fn check_name(key: &str, name: &str, section: &Section) -> Result<(), Error> {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if !name.is_empty() && name.chars().all(is_valid) {
        return Ok(());
    }
    let reason = "it is empty or has characters that are not allowed in a URL path";
    Err(section.invalid(key, name, reason, "use letters, digits, `-` and `_`"))
}
