//! The order of events over processes.

use hyssop_event::{Kind, Record};

/// Picks events.
#[derive(Clone, Debug, Default)]
pub(crate) struct Filter {
    pub(crate) request: Option<String>,
    pub(crate) instance: Option<String>,
    pub(crate) kind: Option<Kind>,
}

impl Filter {
    fn picks(&self, event: &Record) -> bool {
        let is = |wanted: &Option<String>, field: &str| match wanted {
            None => true,
            Some(wanted) => event.field(field) == Some(wanted.as_str()),
        };
        is(&self.request, "request")
            && is(&self.instance, "instance")
            && self.kind.is_none_or(|kind| kind == event.kind)
    }
}

/// Merges the events of several processes by their stamps, which order causes before effects.
pub(crate) fn merge(processes: Vec<Vec<Record>>, filter: &Filter) -> Vec<Record> {
    let mut events: Vec<Record> = processes.into_iter().flatten().collect();
    events.retain(|event| filter.picks(event));
    events
        .sort_by(|a, b| (a.stamp, &a.process, a.sequence).cmp(&(b.stamp, &b.process, b.sequence)));
    events
        .dedup_by(|a, b| a.process == b.process && a.sequence == b.sequence && a.stamp == b.stamp);
    events
}

/// Returns an event as one line.
pub(crate) fn line(event: &Record) -> String {
    const US_PER_S: u64 = 1_000_000;
    let (seconds, us) = (event.stamp / US_PER_S, event.stamp % US_PER_S);
    format!(
        "{seconds}.{us:06} {:12} {}{}",
        event.process,
        event.kind,
        event.pairs()
    )
}

#[cfg(test)]
mod tests;
