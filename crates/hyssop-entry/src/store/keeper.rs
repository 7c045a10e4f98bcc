use super::poll::Poll;
use crate::core::{Fleet, Inbox, Message};
use crate::metric::Metrics;
use crate::state::{Held, State};
use hyssop_config::fleet;
use hyssop_config::settings::Process;
use hyssop_event::{Kind, Recorder};
use hyssop_model::entry::{Phase, Record};
use hyssop_model::prelude::*;
use hyssop_platform::object::Object;
use hyssop_platform::table::{read_one, Condition, Row, Table, Transaction};
use hyssop_platform::{keys, Error};
use hyssop_policy::membership::{next_epoch, View, MAX_CLOCK_SKEW_MS};
use rand::Rng;
use std::sync::Arc;

/// Is what the keeper works with.
pub(crate) struct Parts {
    pub(crate) process: Process,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) objects: Arc<dyn Object>,
    pub(crate) state: Arc<State>,
    pub(crate) inbox: Inbox,
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Arc<Metrics>,
    /// Ends the pause between two polls.
    pub(crate) nudges: flume::Receiver<()>,
}

/// Keeps the entry's lease and watches the rows that concern it.
pub(crate) struct Keeper {
    parts: Parts,
    revision: Option<u64>,
    epoch: u64,
    is_down: bool,
    failures: u32,
    next_renewal: Instant,
    next_members: Instant,
    told_held: u64,
    told_in_force: u64,
    told_handover: bool,
    /// Whether another member polls on behalf of this one.
    is_follower: bool,
}

const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
const LONGEST_BACKOFF: Duration = Duration::from_secs(4);

impl Keeper {
    pub(crate) fn new(parts: Parts) -> Self {
        let now = parts.clock.now();
        Self {
            parts,
            revision: None,
            epoch: 0,
            is_down: false,
            failures: 0,
            next_renewal: now,
            next_members: now,
            told_held: 0,
            told_in_force: 0,
            told_handover: false,
            is_follower: false,
        }
    }

    /// Polls until the entry stops, then leaves the membership.
    pub(crate) fn run(mut self, is_over: &dyn Fn() -> bool) {
        while !is_over() {
            let result = self.poll();
            self.note_result(&result);
            // A nudge and the end of the pause both mean that it is time to poll.
            let _ = self.parts.nudges.recv_timeout(self.pause());
        }
        if let Err(error) = self.leave() {
            log::warn!("event=leave-failed reason={:?}", error.to_string());
        }
    }

    /// Returns the pause before the next poll: spread, and longer the longer the platform fails.
    ///
    /// The first member polls most often and passes on what it sees; the others look for
    /// themselves at a slower pace, in case it can't.
    fn pause(&self) -> Duration {
        const OTHERS_FACTOR: u32 = 4;
        let factor = if self.is_follower { OTHERS_FACTOR } else { 1 };
        let base = self.parts.process.poll * factor;
        let backoff = base.saturating_mul(1 << self.failures.min(6));
        let longest = backoff.min(LONGEST_BACKOFF.max(base));
        longest.mul_f64(rand::rng().random_range(0.75..1.25))
    }

    fn note_result(&mut self, result: &Result<(), Error>) {
        let label = if result.is_ok() { "ok" } else { "failed" };
        self.parts
            .metrics
            .platform_calls
            .with_label_values(&[label])
            .inc();
        match result {
            Ok(()) => {
                self.failures = 0;
                self.parts.state.note_contact(self.parts.clock.now());
                if std::mem::take(&mut self.is_down) {
                    self.parts.recorder.record(Kind::StoreUp, &[]);
                }
            }
            Err(Error::Conflict { key }) => log::debug!("event=conflict row={key}"),
            Err(error) => {
                self.failures += 1;
                if !std::mem::replace(&mut self.is_down, true) {
                    let reason = error.to_string();
                    self.parts
                        .recorder
                        .record(Kind::StoreDown, &[("reason", &reason)]);
                }
            }
        }
    }

    fn poll(&mut self) -> Result<(), Error> {
        let region = self.parts.process.region.clone();
        let poll = Poll::read(self.parts.table.as_ref(), &region)?;
        self.hold_config(&poll)?;
        self.watch_instances(&poll)?;
        self.watch_epoch(&poll);
        self.renew()?;
        self.watch_members(&poll)
    }

    /// Holds the highest configuration and puts the accepted one in force.
    fn hold_config(&mut self, poll: &Poll) -> Result<(), Error> {
        let state = &self.parts.state;
        let highest = poll.config.highest();
        if highest.number > state.held() {
            if let Some(text) = self.parts.objects.get(&highest.object)? {
                state.hold(Held {
                    number: highest.number,
                    text: text.clone(),
                });
                if poll.config.proposed.is_some() {
                    let number = highest.number;
                    // The core is gone only when the process stops.
                    let _ = self.parts.inbox.send(Message::Proposed { number, text });
                }
                self.parts
                    .recorder
                    .record(Kind::ConfigProposed, &[("version", &highest.number)]);
            }
        }
        let accepted = &poll.config.accepted;
        if accepted.number <= state.in_force() {
            return Ok(());
        }
        let text = match state.text(accepted.number) {
            Some(text) => Some(text),
            None => self.parts.objects.get(&accepted.object)?,
        };
        if let Some(text) = text {
            self.put_in_force(accepted.number, text);
        }
        Ok(())
    }

    fn put_in_force(&self, number: u64, text: String) {
        match fleet::Fleet::parse("configuration", &text) {
            Ok(parsed) => {
                let fleet = Fleet {
                    number,
                    text,
                    fleet: Arc::new(parsed),
                };
                // The core is gone only when the process stops.
                let _ = self.parts.inbox.send(Message::Fleet(fleet));
            }
            Err(error) => log::error!(
                "event=config-refused version={number} reason={:?}",
                error.to_string()
            ),
        }
    }

    fn watch_instances(&mut self, poll: &Poll) -> Result<(), Error> {
        if self.revision == Some(poll.head.revision) {
            return Ok(());
        }
        let records = self.read_changed(&poll.head)?;
        // The core is gone only when the process stops.
        let _ = self.parts.inbox.send(Message::Instances(records));
        self.revision = Some(poll.head.revision);
        Ok(())
    }

    /// Reads the rows that changed since the last poll, or all of them.
    fn read_changed(&self, head: &instance::Head) -> Result<Vec<instance::Record>, Error> {
        let region = &self.parts.process.region;
        let changed = self
            .revision
            .and_then(|revision| head.changed_after(revision));
        let rows: Vec<Row> = match changed {
            Some(names) => {
                let keys: Vec<String> = names
                    .iter()
                    .map(|name| keys::instance(region, name))
                    .collect();
                self.parts
                    .table
                    .read(&keys)?
                    .into_iter()
                    .flatten()
                    .collect()
            }
            None => self.parts.table.scan(&keys::instances(region))?,
        };
        rows.iter().map(Row::parse).collect()
    }

    fn watch_epoch(&mut self, poll: &Poll) {
        let Some(epoch) = &poll.epoch else {
            return;
        };
        if epoch.number > self.epoch {
            self.epoch = epoch.number;
            // The core is gone only when the process stops.
            let _ = self.parts.inbox.send(Message::Epoch(epoch.clone()));
        }
    }

    /// Renews the lease when it is due, or when there is news for the planner.
    fn renew(&mut self) -> Result<(), Error> {
        let now = self.parts.clock.now();
        let (held, in_force) = (self.parts.state.held(), self.parts.state.in_force());
        let is_handed_over = self.parts.state.is_handed_over();
        let has_news = held != self.told_held
            || in_force != self.told_in_force
            || is_handed_over != self.told_handover;
        if now < self.next_renewal && !has_news {
            return Ok(());
        }
        const RENEWALS_PER_LEASE: u32 = 3;
        let process = &self.parts.process;
        let record = self.record(held, in_force);
        let key = keys::entry(&process.region, &process.name);
        let own_row = read_one(self.parts.table.as_ref(), &key)?;
        let transaction = Transaction::new(write_id())
            .require(Condition::as_read(&key, own_row.as_ref()))
            .put(&key, &record);
        self.parts.table.commit(&transaction)?;
        let ends = now + process.lease.saturating_sub(process.lease_margin);
        // The core is gone only when the process stops.
        let _ = self.parts.inbox.send(Message::Lease(ends));
        self.next_renewal = now + process.lease / RENEWALS_PER_LEASE;
        self.told_held = held;
        self.told_in_force = in_force;
        if is_handed_over && !self.told_handover {
            // The membership is changed at once, so that the keys find their successors.
            self.next_members = now;
        }
        self.told_handover = is_handed_over;
        Ok(())
    }

    fn record(&self, held_version: u64, config_version: u64) -> Record {
        let state = &self.parts.state;
        Record {
            member: state.member.clone(),
            phase: if state.is_handed_over() {
                Phase::Leaving
            } else {
                Phase::Serving
            },
            expires_ms: self.parts.clock.wall_ms() + self.parts.process.lease.as_millis() as u64,
            held_version,
            config_version,
            is_handed_over: state.is_handed_over(),
        }
    }

    /// Writes the next membership epoch when that is this entry's to do.
    fn watch_members(&mut self, poll: &Poll) -> Result<(), Error> {
        let now = self.parts.clock.now();
        let region = &self.parts.process.region;
        let own = self.parts.state.member.id;
        let is_first = poll
            .epoch
            .as_ref()
            .and_then(|epoch| epoch.members.first())
            .map(|member| member.id);
        let is_member = poll.epoch.as_ref().is_some_and(|epoch| epoch.contains(own));
        self.is_follower = is_member && is_first != Some(own) && poll.config.proposed.is_none();
        if now < self.next_members {
            return Ok(());
        }
        self.next_members = now + MEMBERS_INTERVAL;
        const OTHERS_PART: u32 = 4;
        if is_member && is_first != Some(own) {
            self.next_members = now + MEMBERS_INTERVAL * OTHERS_PART;
        }
        let rows = self.parts.table.scan(&keys::entries(region))?;
        let entries: Vec<Record> = rows.iter().map(Row::parse).collect::<Result<_, _>>()?;
        let observed = View {
            own,
            entries: &entries,
            epoch: poll.epoch.as_ref(),
            wall_ms: self.parts.clock.wall_ms(),
            max_clock_skew_ms: MAX_CLOCK_SKEW_MS,
        };
        let Some(epoch) = next_epoch(&observed) else {
            return Ok(());
        };
        // A member must hold the proposal of its time, or a configuration could be accepted
        // between this entry's reading and its joining.
        if self.parts.state.held() < poll.config.highest().number {
            return Ok(());
        }
        let key = keys::epoch(region);
        let own_key = keys::entry(region, &self.parts.process.name);
        let own_row = rows.iter().find(|row| row.key == own_key);
        let transaction = Transaction::new(write_id())
            .require(Condition::as_read(&key, poll.epoch_row.as_ref()))
            .require(Condition::as_read(&own_key, own_row))
            .require(Condition::as_read(keys::CONFIG, poll.config_row.as_ref()))
            .put(&key, &epoch);
        self.parts.table.commit(&transaction)?;
        self.parts.recorder.record(
            Kind::EpochWritten,
            &[("epoch", &epoch.number), ("members", &epoch.members.len())],
        );
        self.next_members = now;
        Ok(())
    }

    /// Takes the entry out of the membership.
    fn leave(&mut self) -> Result<(), Error> {
        let process = &self.parts.process;
        let key = keys::entry(&process.region, &process.name);
        let row = read_one(self.parts.table.as_ref(), &key)?;
        let Some(row) = row else {
            return Ok(());
        };
        let found: Record = row.parse()?;
        if found.member.id != self.parts.state.member.id {
            return Ok(());
        }
        let transaction = Transaction::new(write_id())
            .require(Condition::unchanged(&row))
            .delete(&key);
        self.parts.table.commit(&transaction)?;
        self.parts
            .recorder
            .record(Kind::LeaseLost, &[("cause", &"stopping")]);
        Ok(())
    }
}

/// Draws the name of a transaction.
pub(crate) fn write_id() -> String {
    uuid::Uuid::new_v4().to_string()
}
