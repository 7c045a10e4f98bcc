use super::Source;
use hyssop_model::entry;
use hyssop_policy::plan::Report;
use std::collections::BTreeMap;

/// A source that fetches reports from the entries over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct Http;

const TIMEOUT_S: u64 = 1;

impl Source for Http {
    fn fetch(&self, entries: &[entry::Record]) -> BTreeMap<String, Report> {
        std::thread::scope(|scope| {
            let calls: Vec<_> = entries
                .iter()
                .map(|entry| (entry, scope.spawn(|| fetch(&entry.member.address))))
                .collect();
            let reports = calls.into_iter().filter_map(|(entry, call)| {
                let report = call.join().ok().flatten()?;
                Some((entry.member.name.clone(), report))
            });
            reports.collect()
        })
    }
}

fn fetch(address: &str) -> Option<Report> {
    let url = format!("http://{address}/v1/control/report");
    let response = minreq::get(url).with_timeout(TIMEOUT_S).send().ok()?;
    serde_json::from_slice(response.as_bytes()).ok()
}
