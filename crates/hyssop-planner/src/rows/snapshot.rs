use hyssop_model::prelude::*;
use hyssop_model::{config, intent};
use hyssop_platform::table::{Row, Table};
use hyssop_platform::{keys, Error};
use serde::de::DeserializeOwned;

/// Is everything that one step of the planner read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// The rows by key, for conditions.
    pub(crate) rows: BTreeMap<String, Row>,
    pub(crate) head: instance::Head,
    pub(crate) config: config::Head,
    pub(crate) epoch: epoch::Record,
    pub(crate) instances: BTreeMap<String, instance::Record>,
    pub(crate) pools: BTreeMap<String, pool::Record>,
    pub(crate) entries: Vec<entry::Record>,
    pub(crate) drains: BTreeMap<String, intent::Drain>,
    pub(crate) wave: Option<intent::Wave>,
}

impl Snapshot {
    /// Reads the rows of a region; instance rows that did not change, and pool rows, which nobody
    /// else writes, are taken from `last`, and so are entry rows unless `is_full`.
    ///
    /// # Errors
    ///
    /// Fails when the table service can't be used or a row can't be parsed.
    pub(crate) fn read(
        table: &dyn Table,
        region: &str,
        last: Option<Self>,
        is_full: bool,
    ) -> Result<Self, Error> {
        let mut snapshot = Self::default();
        let wanted = [
            keys::head(region),
            keys::CONFIG.to_owned(),
            keys::epoch(region),
        ];
        let found = table.read(&wanted)?;
        let singles: Vec<Row> = found.into_iter().flatten().collect();
        snapshot.keep(singles);
        snapshot.head = snapshot.single(&wanted[0])?.unwrap_or_default();
        snapshot.config = snapshot.single(&wanted[1])?.unwrap_or_default();
        snapshot.epoch = snapshot.single(&wanted[2])?.unwrap_or_default();
        snapshot.read_pools(table, region, last.as_ref())?;
        snapshot.read_entries(table, region, last.as_ref(), is_full)?;
        snapshot.read_instances(table, region, last)?;
        snapshot.read_intents(table, region)?;
        Ok(snapshot)
    }

    /// Reads what operators asked for, drains and wave, in one scan.
    fn read_intents(&mut self, table: &dyn Table, region: &str) -> Result<(), Error> {
        let drains = keys::drain(region, "");
        let rows = table.scan(&keys::intents(region))?;
        for row in rows.iter().filter(|row| row.key.starts_with(&drains)) {
            let drain: intent::Drain = row.parse()?;
            self.drains.insert(drain.instance.clone(), drain);
        }
        self.keep(rows);
        self.wave = self.single(&keys::wave(region))?;
        Ok(())
    }

    fn read_pools(
        &mut self,
        table: &dyn Table,
        region: &str,
        last: Option<&Self>,
    ) -> Result<(), Error> {
        let prefix = keys::pools(region);
        match last {
            Some(last) => {
                self.pools = last.pools.clone();
                self.keep_from(last, &prefix);
            }
            None => self.pools = self.scan(table, &prefix)?,
        }
        Ok(())
    }

    fn read_entries(
        &mut self,
        table: &dyn Table,
        region: &str,
        last: Option<&Self>,
        is_full: bool,
    ) -> Result<(), Error> {
        let prefix = keys::entries(region);
        match last {
            Some(last) if !is_full => {
                self.entries = last.entries.clone();
                self.keep_from(last, &prefix);
            }
            _ => {
                let entries: BTreeMap<String, entry::Record> = self.scan(table, &prefix)?;
                self.entries = entries.into_values().collect();
            }
        }
        Ok(())
    }

    fn keep_from(&mut self, last: &Self, prefix: &str) {
        let known = last.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        self.rows
            .extend(known.map(|(key, row)| (key.clone(), row.clone())));
    }

    /// Reads the instance rows that changed since `last`, or all of them.
    fn read_instances(
        &mut self,
        table: &dyn Table,
        region: &str,
        last: Option<Self>,
    ) -> Result<(), Error> {
        let prefix = keys::instances(region);
        let changed = last
            .as_ref()
            .and_then(|last| self.head.changed_after(last.head.revision));
        let (Some(last), Some(changed)) = (last.as_ref(), changed) else {
            self.instances = self.scan(table, &prefix)?;
            return Ok(());
        };
        let keys: Vec<String> = changed
            .iter()
            .map(|name| keys::instance(region, name))
            .collect();
        self.instances = last.instances.clone();
        self.keep_from(last, &prefix);
        if keys.is_empty() {
            return Ok(());
        }
        for row in table.read(&keys)?.into_iter().flatten() {
            let record: instance::Record = row.parse()?;
            self.instances.insert(record.name.clone(), record);
            self.rows.insert(row.key.clone(), row);
        }
        Ok(())
    }

    fn scan<T: DeserializeOwned>(
        &mut self,
        table: &dyn Table,
        prefix: &str,
    ) -> Result<BTreeMap<String, T>, Error> {
        let rows = table.scan(prefix)?;
        let parsed = rows.iter().map(|row| {
            let name = row.key.strip_prefix(prefix).unwrap_or(&row.key);
            Ok((name.to_owned(), row.parse()?))
        });
        let parsed = parsed.collect::<Result<_, Error>>()?;
        self.keep(rows);
        Ok(parsed)
    }

    fn single<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, Error> {
        self.rows.get(key).map(Row::parse).transpose()
    }

    fn keep(&mut self, rows: Vec<Row>) {
        self.rows
            .extend(rows.into_iter().map(|row| (row.key.clone(), row)));
    }
}
