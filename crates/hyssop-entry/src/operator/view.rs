use super::failure::Failure;
use super::handler::CommandHandler;
use crate::front::{json, Reply};
use hyper::StatusCode;
use hyssop_model::{config, entry, epoch, instance, intent, lease, pool};
use hyssop_platform::keys;
use hyssop_platform::table::{read_one, Row, Table};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;

/// The state of the control plane, as returned to operators.
#[derive(Debug, Serialize)]
struct Status {
    region: String,
    wall_ms: u64,
    epoch: Option<epoch::Record>,
    entries: Vec<entry::Record>,
    planner: Option<lease::Record>,
    config: Option<config::Head>,
}

/// The pending requests of operators: drains and the maintenance wave.
#[derive(Debug, Serialize)]
struct Intents {
    drains: Vec<intent::Drain>,
    wave: Option<intent::Wave>,
}

/// Returns the state of the control plane.
pub(super) fn status(handler: &CommandHandler) -> Result<Reply, Failure> {
    let region = &handler.region;
    let table = handler.table.as_ref();
    let status = Status {
        region: region.clone(),
        wall_ms: handler.clock.wall_ms(),
        epoch: read(table, &keys::epoch(region))?,
        entries: scan(table, &keys::entries(region))?,
        planner: read(table, &keys::planner(region))?,
        config: read(table, keys::CONFIG)?,
    };
    Ok(json(StatusCode::OK, &status))
}

/// Returns all instance rows.
pub(super) fn instances(handler: &CommandHandler) -> Result<Reply, Failure> {
    let records: Vec<instance::Record> =
        scan(handler.table.as_ref(), &keys::instances(&handler.region))?;
    Ok(json(StatusCode::OK, &records))
}

/// Returns the pool rows by name.
pub(super) fn pools(handler: &CommandHandler) -> Result<Reply, Failure> {
    let prefix = keys::pools(&handler.region);
    let rows = handler.table.scan(&prefix)?;
    let mut pools: BTreeMap<String, pool::Record> = BTreeMap::new();
    for row in &rows {
        let name = row.key.trim_start_matches(&prefix).to_owned();
        pools.insert(name, row.parse()?);
    }
    Ok(json(StatusCode::OK, &pools))
}

/// Returns the drains and the maintenance wave.
pub(super) fn intents(handler: &CommandHandler) -> Result<Reply, Failure> {
    let table = handler.table.as_ref();
    let intents = Intents {
        drains: scan(table, &keys::drain(&handler.region, ""))?,
        wave: read(table, &keys::wave(&handler.region))?,
    };
    Ok(json(StatusCode::OK, &intents))
}

fn read<T: DeserializeOwned>(table: &dyn Table, key: &str) -> Result<Option<T>, Failure> {
    let row = read_one(table, key)?;
    Ok(row.as_ref().map(Row::parse).transpose()?)
}

fn scan<T: DeserializeOwned>(table: &dyn Table, prefix: &str) -> Result<Vec<T>, Failure> {
    let rows = table.scan(prefix)?;
    Ok(rows.iter().map(Row::parse).collect::<Result<_, _>>()?)
}
