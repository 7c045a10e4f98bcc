use super::poll::PollResult;
use crate::core::{Config, Inbox, Message};
use crate::metric::Metrics;
use crate::state::{ConfigText, State};
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

/// The handles that the poller uses.
pub(crate) struct Parts {
    pub(crate) process: Process,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) objects: Arc<dyn Object>,
    pub(crate) state: Arc<State>,
    pub(crate) inbox: Inbox,
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Arc<Metrics>,
    /// Ends the delay before the next poll early.
    pub(crate) poll_triggers: flume::Receiver<()>,
}

/// Poller of the table service, which renews the entry's lease and reports changed rows to the
/// core.
pub(crate) struct Poller {
    parts: Parts,
    /// The revision of the instance rows at the last poll.
    revision: Option<u64>,
    /// The number of the last epoch sent to the core.
    epoch: u64,
    is_store_down: bool,
    consecutive_failures: u32,
    next_renewal: Instant,
    next_membership_check_at: Instant,
    /// The values last written into the entry's row.
    reported_stored_version: u64,
    reported_active_version: u64,
    reported_handover: bool,
    /// Whether another member polls frequently and forwards changes to this one.
    is_follower: bool,
}

/// Interval at which the first member, and entries that are not members, check the membership.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum delay between two polls while the platform fails, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

impl Poller {
    pub(crate) fn new(parts: Parts) -> Self {
        let now = parts.clock.now();
        Self {
            parts,
            revision: None,
            epoch: 0,
            is_store_down: false,
            consecutive_failures: 0,
            next_renewal: now,
            next_membership_check_at: now,
            reported_stored_version: 0,
            reported_active_version: 0,
            reported_handover: false,
            is_follower: false,
        }
    }

    /// Polls until the entry stops, then leaves the membership.
    pub(crate) fn run(mut self, should_stop: &dyn Fn() -> bool) {
        while !should_stop() {
            let result = self.poll();
            self.record_result(&result);
            // A trigger and the end of the delay both start the next poll.
            let _ = self.parts.poll_triggers.recv_timeout(self.next_delay());
        }
        if let Err(error) = self.leave() {
            log::warn!("event=leave-failed reason={:?}", error.to_string());
        }
    }

    /// Returns the delay before the next poll, with jitter and with exponential backoff while the
    /// platform fails.
    ///
    /// The first member polls most often and forwards the changes to the others, which poll at a
    /// lower rate in case the first one cannot.
    fn next_delay(&self) -> Duration {
        const FOLLOWER_POLL_FACTOR: u32 = 4;
        let factor = if self.is_follower {
            FOLLOWER_POLL_FACTOR
        } else {
            1
        };
        let base = self.parts.process.poll * factor;
        let backoff = base.saturating_mul(1 << self.consecutive_failures.min(6));
        let delay = backoff.min(MAX_BACKOFF.max(base));
        delay.mul_f64(rand::rng().random_range(0.75..1.25))
    }

    fn record_result(&mut self, result: &Result<(), Error>) {
        let label = if result.is_ok() { "ok" } else { "failed" };
        self.parts
            .metrics
            .platform_calls
            .with_label_values(&[label])
            .inc();
        match result {
            Ok(()) => {
                self.consecutive_failures = 0;
                self.parts.state.record_contact(self.parts.clock.now());
                if std::mem::take(&mut self.is_store_down) {
                    self.parts.recorder.record(Kind::StoreUp, &[]);
                }
            }
            Err(Error::Conflict { key }) => log::debug!("event=conflict row={key}"),
            Err(error) => {
                self.consecutive_failures += 1;
                if !std::mem::replace(&mut self.is_store_down, true) {
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
        let poll = PollResult::read(self.parts.table.as_ref(), &region)?;
        self.update_config(&poll)?;
        self.update_instances(&poll)?;
        self.update_epoch(&poll);
        self.renew_lease()?;
        self.update_membership(&poll)
    }

    /// Stores the highest configuration version and activates the accepted one.
    fn update_config(&mut self, poll: &PollResult) -> Result<(), Error> {
        let state = &self.parts.state;
        let highest = poll.config.highest();
        if highest.number > state.stored_version() {
            if let Some(text) = self.parts.objects.get(&highest.object)? {
                state.store_config(ConfigText {
                    number: highest.number,
                    text: text.clone(),
                });
                if poll.config.proposed.is_some() {
                    let number = highest.number;
                    // Sending fails only during shutdown, after the core has stopped.
                    let _ = self
                        .parts
                        .inbox
                        .send(Message::ConfigProposed { number, text });
                }
                self.parts
                    .recorder
                    .record(Kind::ConfigProposed, &[("version", &highest.number)]);
            }
        }
        let accepted = &poll.config.accepted;
        if accepted.number <= state.active_version() {
            return Ok(());
        }
        let text = match state.config_text(accepted.number) {
            Some(text) => Some(text),
            None => self.parts.objects.get(&accepted.object)?,
        };
        if let Some(text) = text {
            self.activate_config(accepted.number, text);
        }
        Ok(())
    }

    fn activate_config(&self, number: u64, text: String) {
        match fleet::Fleet::parse("configuration", &text) {
            Ok(parsed) => {
                let config = Config {
                    number,
                    text,
                    fleet: Arc::new(parsed),
                };
                // Sending fails only during shutdown, after the core has stopped.
                let _ = self.parts.inbox.send(Message::ConfigAccepted(config));
            }
            Err(error) => log::error!(
                "event=config-refused version={number} reason={:?}",
                error.to_string()
            ),
        }
    }

    fn update_instances(&mut self, poll: &PollResult) -> Result<(), Error> {
        if self.revision == Some(poll.head.revision) {
            return Ok(());
        }
        let records = self.read_changed(&poll.head)?;
        // Sending fails only during shutdown, after the core has stopped.
        let _ = self.parts.inbox.send(Message::Instances(records));
        self.revision = Some(poll.head.revision);
        Ok(())
    }

    /// Reads the instance rows that changed since the last poll, or all rows if the changes are
    /// unknown.
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

    fn update_epoch(&mut self, poll: &PollResult) {
        let Some(epoch) = &poll.epoch else {
            return;
        };
        if epoch.number > self.epoch {
            self.epoch = epoch.number;
            // Sending fails only during shutdown, after the core has stopped.
            let _ = self.parts.inbox.send(Message::Epoch(epoch.clone()));
        }
    }

    /// Renews the lease when it is due, or earlier when values in the entry's row have changed that
    /// the planner reads.
    fn renew_lease(&mut self) -> Result<(), Error> {
        let now = self.parts.clock.now();
        let (stored_version, active_version) = (
            self.parts.state.stored_version(),
            self.parts.state.active_version(),
        );
        let is_handed_over = self.parts.state.is_handed_over();
        let has_changes = stored_version != self.reported_stored_version
            || active_version != self.reported_active_version
            || is_handed_over != self.reported_handover;
        if now < self.next_renewal && !has_changes {
            return Ok(());
        }
        const RENEWALS_PER_LEASE: u32 = 3;
        let process = &self.parts.process;
        let record = self.entry_record(stored_version, active_version);
        let key = keys::entry(&process.region, &process.name);
        let own_row = read_one(self.parts.table.as_ref(), &key)?;
        let transaction = Transaction::new(new_write_id())
            .require(Condition::as_read(&key, own_row.as_ref()))
            .put(&key, &record);
        self.parts.table.commit(&transaction)?;
        let usable_until = now + process.lease.saturating_sub(process.lease_margin);
        // Sending fails only during shutdown, after the core has stopped.
        let _ = self.parts.inbox.send(Message::LeaseRenewed(usable_until));
        self.next_renewal = now + process.lease / RENEWALS_PER_LEASE;
        self.reported_stored_version = stored_version;
        self.reported_active_version = active_version;
        if is_handed_over && !self.reported_handover {
            // Update the membership without delay, so that the keys reach their new homes.
            self.next_membership_check_at = now;
        }
        self.reported_handover = is_handed_over;
        Ok(())
    }

    /// Returns the row of this entry with a new expiry.
    fn entry_record(&self, held_version: u64, config_version: u64) -> Record {
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

    /// Writes the next membership epoch if this entry is responsible for it.
    fn update_membership(&mut self, poll: &PollResult) -> Result<(), Error> {
        let now = self.parts.clock.now();
        let region = &self.parts.process.region;
        let own = self.parts.state.member.id;
        let first_member = poll
            .epoch
            .as_ref()
            .and_then(|epoch| epoch.members.first())
            .map(|member| member.id);
        let is_member = poll.epoch.as_ref().is_some_and(|epoch| epoch.contains(own));
        self.is_follower = is_member && first_member != Some(own) && poll.config.proposed.is_none();
        if now < self.next_membership_check_at {
            return Ok(());
        }
        self.next_membership_check_at = now + MEMBERSHIP_CHECK_INTERVAL;
        const FOLLOWER_CHECK_FACTOR: u32 = 4;
        if is_member && first_member != Some(own) {
            self.next_membership_check_at = now + MEMBERSHIP_CHECK_INTERVAL * FOLLOWER_CHECK_FACTOR;
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
        // A new member must already have stored the current proposal. Otherwise a configuration
        // that it lacks could be accepted between its poll and its joining.
        if self.parts.state.stored_version() < poll.config.highest().number {
            return Ok(());
        }
        let key = keys::epoch(region);
        let own_key = keys::entry(region, &self.parts.process.name);
        let own_row = rows.iter().find(|row| row.key == own_key);
        let transaction = Transaction::new(new_write_id())
            .require(Condition::as_read(&key, poll.epoch_row.as_ref()))
            .require(Condition::as_read(&own_key, own_row))
            .require(Condition::as_read(keys::CONFIG, poll.config_row.as_ref()))
            .put(&key, &epoch);
        self.parts.table.commit(&transaction)?;
        self.parts.recorder.record(
            Kind::EpochWritten,
            &[("epoch", &epoch.number), ("members", &epoch.members.len())],
        );
        self.next_membership_check_at = now;
        Ok(())
    }

    /// Deletes the entry's row, which removes it from the membership.
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
        let transaction = Transaction::new(new_write_id())
            .require(Condition::unchanged(&row))
            .delete(&key);
        self.parts.table.commit(&transaction)?;
        self.parts
            .recorder
            .record(Kind::LeaseLost, &[("cause", &"stopping")]);
        Ok(())
    }
}

/// Returns a random write id for a transaction.
pub(crate) fn new_write_id() -> String {
    uuid::Uuid::new_v4().to_string()
}
