//! Fetches events from processes.

use hyssop_event::Record;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use snafu::Snafu;

/// A failure to fetch the events of a process.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The process can't be reached.
    #[snafu(display("{url} can't be reached: {source}"))]
    Unreachable { url: String, source: minreq::Error },
    /// The response can't be parsed.
    #[snafu(display("the response of {url} can't be parsed: {source}"))]
    Malformed {
        url: String,
        source: serde_json::Error,
    },
}

/// The part of an entry's status that lists the entries.
#[derive(Debug, Deserialize)]
struct Status {
    entries: Vec<hyssop_model::entry::Record>,
}

const TIMEOUT_S: u64 = 5;

/// Returns the URLs of all entries in the status of `entry`.
pub(crate) fn entries(entry: &str) -> Result<Vec<String>, Error> {
    let status: Status = get(&format!("{entry}/v1/operator/status"))?;
    let addresses = status
        .entries
        .iter()
        .map(|entry| format!("http://{}", entry.member.address));
    Ok(addresses.collect())
}

/// Fetches the events that a process has kept.
pub(crate) fn events(process: &str) -> Result<Vec<Record>, Error> {
    get(&format!("{process}/events?after=0"))
}

fn get<T: DeserializeOwned>(url: &str) -> Result<T, Error> {
    use snafu::ResultExt;
    let response = minreq::get(url).with_timeout(TIMEOUT_S).send();
    let response = response.context(UnreachableSnafu { url })?;
    serde_json::from_slice(response.as_bytes()).context(MalformedSnafu { url })
}
