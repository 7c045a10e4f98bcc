use hyssop_model::prelude::*;
use hyssop_model::{config, intent};
use hyssop_platform::table::{Row, Table};
use hyssop_platform::{keys, Error};
use serde::de::DeserializeOwned;

/// The rows that one step of the planner works on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// The rows by key, for the conditions of a transaction.
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
    /// Reads the rows of a region.
    ///
    /// Unchanged instance rows and the pool rows, which only the planner writes, are copied from
    /// `last`, and so are the entry rows unless `is_full`.
    ///
    /// # Errors
    ///
    /// Returns an error if the table service fails or a row can't be parsed.
    pub(crate) fn read(
        table: &dyn Table,
        region: &str,
        last: Option<Self>,
        is_full: bool,
    ) -> Result<Self, Error> {
        let mut snapshot = Self::default();
        let keys = [
            keys::head(region),
            keys::CONFIG.to_owned(),
            keys::epoch(region),
        ];
        let found = table.read(&keys)?;
        let rows: Vec<Row> = found.into_iter().flatten().collect();
        snapshot.insert_rows(rows);
        snapshot.head = snapshot.parse_row(&keys[0])?.unwrap_or_default();
        snapshot.config = snapshot.parse_row(&keys[1])?.unwrap_or_default();
        snapshot.epoch = snapshot.parse_row(&keys[2])?.unwrap_or_default();
        snapshot.read_pools(table, region, last.as_ref())?;
        snapshot.read_entries(table, region, last.as_ref(), is_full)?;
        snapshot.read_instances(table, region, last)?;
        snapshot.read_intents(table, region)?;
        Ok(snapshot)
    }

    /// Reads the operators' intents, which are the drains and the wave, in one scan.
    fn read_intents(&mut self, table: &dyn Table, region: &str) -> Result<(), Error> {
        let drains = keys::drain(region, "");
        let rows = table.scan(&keys::intents(region))?;
        for row in rows.iter().filter(|row| row.key.starts_with(&drains)) {
            let drain: intent::Drain = row.parse()?;
            self.drains.insert(drain.instance.clone(), drain);
        }
        self.insert_rows(rows);
        self.wave = self.parse_row(&keys::wave(region))?;
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
                self.copy_rows(last, &prefix);
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
                self.copy_rows(last, &prefix);
            }
            _ => {
                let entries: BTreeMap<String, entry::Record> = self.scan(table, &prefix)?;
                self.entries = entries.into_values().collect();
            }
        }
        Ok(())
    }

    fn copy_rows(&mut self, last: &Self, prefix: &str) {
        let copied = last.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        self.rows
            .extend(copied.map(|(key, row)| (key.clone(), row.clone())));
    }

    /// Reads the instance rows that changed since `last`, or all of them if those aren't known.
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
        self.copy_rows(last, &prefix);
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
        self.insert_rows(rows);
        Ok(parsed)
    }

    fn parse_row<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, Error> {
        self.rows.get(key).map(Row::parse).transpose()
    }

    fn insert_rows(&mut self, rows: Vec<Row>) {
        self.rows
            .extend(rows.into_iter().map(|row| (row.key.clone(), row)));
    }
}
