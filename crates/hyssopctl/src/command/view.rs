use crate::client::Client;
use crate::error::{ConfigSnafu, Error};
use hyssop_config::fleet::Fleet;
use hyssop_model::intent::{Drain, Wave};
use hyssop_model::{config, entry, epoch, instance, lease, pool};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::collections::BTreeMap;

/// The state of the control plane as reported by an entry.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Status {
    pub(super) region: String,
    pub(super) wall_ms: u64,
    pub(super) epoch: Option<epoch::Record>,
    pub(super) entries: Vec<entry::Record>,
    pub(super) planner: Option<lease::Record>,
    pub(super) config: Option<config::Head>,
}

/// The drains and the maintenance wave requested by operators.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Intents {
    pub(super) drains: Vec<Drain>,
    pub(super) wave: Option<Wave>,
}

/// The configuration in force, with its proposed successor if there is one.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Config {
    pub(super) head: config::Head,
    pub(super) text: Option<String>,
}

pub(super) fn status(client: &Client) -> Result<Status, Error> {
    client.get("status")
}

pub(super) fn intents(client: &Client) -> Result<Intents, Error> {
    client.get("intents")
}

pub(super) fn config(client: &Client) -> Result<Config, Error> {
    client.get("config")
}

pub(super) fn instances(client: &Client) -> Result<Vec<instance::Record>, Error> {
    client.get("instances")
}

pub(super) fn pools(client: &Client) -> Result<BTreeMap<String, pool::Record>, Error> {
    client.get("pools")
}

/// Returns the parsed configuration in force, or `None` if there is none yet.
pub(super) fn fleet(client: &Client) -> Result<Option<Fleet>, Error> {
    let config = config(client)?;
    let text = config.text.as_deref();
    text.map(|text| Fleet::parse("configuration", text))
        .transpose()
        .context(ConfigSnafu)
}
