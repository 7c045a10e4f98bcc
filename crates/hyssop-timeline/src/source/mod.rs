//! Where events come from.

use hyssop_event::Record;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use snafu::Snafu;

/// Says why a process's events can't be read.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The process can't be reached.
    #[snafu(display("{url} can't be reached: {source}"))]
    Unreachable { url: String, source: minreq::Error },
    /// The answer can't be read.
    #[snafu(display("{url} answers what can't be read: {source}"))]
    Malformed {
        url: String,
        source: serde_json::Error,
    },
}

/// Is the part of an entry's status that names the entries.
#[derive(Debug, Deserialize)]
struct Status {
    entries: Vec<hyssop_model::entry::Record>,
}

const TIMEOUT_S: u64 = 5;

/// Returns the addresses of all entries that one of them knows.
pub(crate) fn entries(entry: &str) -> Result<Vec<String>, Error> {
    let status: Status = get(&format!("{entry}/v1/operator/status"))?;
    let addresses = status
        .entries
        .iter()
        .map(|entry| format!("http://{}", entry.member.address));
    Ok(addresses.collect())
}

/// Returns the events that a process keeps.
pub(crate) fn events(process: &str) -> Result<Vec<Record>, Error> {
    get(&format!("{process}/events?after=0"))
}

fn get<T: DeserializeOwned>(url: &str) -> Result<T, Error> {
    use snafu::ResultExt;
    let response = minreq::get(url).with_timeout(TIMEOUT_S).send();
    let response = response.context(UnreachableSnafu { url })?;
    serde_json::from_slice(response.as_bytes()).context(MalformedSnafu { url })
}
