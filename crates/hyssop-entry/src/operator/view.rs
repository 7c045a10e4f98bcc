use super::failure::Failure;
use super::handler::Operator;
use crate::front::{json, Reply};
use hyper::StatusCode;
use hyssop_model::{config, entry, epoch, instance, intent, lease, pool};
use hyssop_platform::keys;
use hyssop_platform::table::{read_one, Row, Table};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;

/// Is the state of the control plane.
#[derive(Debug, Serialize)]
struct Status {
    region: String,
    wall_ms: u64,
    epoch: Option<epoch::Record>,
    entries: Vec<entry::Record>,
    planner: Option<lease::Record>,
    config: Option<config::Head>,
}

/// Is what operators asked for.
#[derive(Debug, Serialize)]
struct Intents {
    drains: Vec<intent::Drain>,
    wave: Option<intent::Wave>,
}

pub(super) fn status(operator: &Operator) -> Result<Reply, Failure> {
    let region = &operator.region;
    let table = operator.table.as_ref();
    let status = Status {
        region: region.clone(),
        wall_ms: operator.clock.wall_ms(),
        epoch: read(table, &keys::epoch(region))?,
        entries: scan(table, &keys::entries(region))?,
        planner: read(table, &keys::planner(region))?,
        config: read(table, keys::CONFIG)?,
    };
    Ok(json(StatusCode::OK, &status))
}

pub(super) fn instances(operator: &Operator) -> Result<Reply, Failure> {
    let records: Vec<instance::Record> =
        scan(operator.table.as_ref(), &keys::instances(&operator.region))?;
    Ok(json(StatusCode::OK, &records))
}

pub(super) fn pools(operator: &Operator) -> Result<Reply, Failure> {
    let prefix = keys::pools(&operator.region);
    let rows = operator.table.scan(&prefix)?;
    let mut pools: BTreeMap<String, pool::Record> = BTreeMap::new();
    for row in &rows {
        let name = row.key.trim_start_matches(&prefix).to_owned();
        pools.insert(name, row.parse()?);
    }
    Ok(json(StatusCode::OK, &pools))
}

pub(super) fn intents(operator: &Operator) -> Result<Reply, Failure> {
    let table = operator.table.as_ref();
    let intents = Intents {
        drains: scan(table, &keys::drain(&operator.region, ""))?,
        wave: read(table, &keys::wave(&operator.region))?,
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
