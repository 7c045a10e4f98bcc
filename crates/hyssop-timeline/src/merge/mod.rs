//! Filtering and ordering of events from several processes.

use hyssop_event::{Kind, Record};

/// A filter for events; `None` matches everything.
#[derive(Clone, Debug, Default)]
pub(crate) struct Filter {
    pub(crate) request: Option<String>,
    pub(crate) instance: Option<String>,
    pub(crate) kind: Option<Kind>,
}

impl Filter {
    fn accepts(&self, event: &Record) -> bool {
        let has_value = |wanted: &Option<String>, field: &str| match wanted {
            None => true,
            Some(wanted) => event.field(field) == Some(wanted.as_str()),
        };
        has_value(&self.request, "request")
            && has_value(&self.instance, "instance")
            && self.kind.is_none_or(|kind| kind == event.kind)
    }
}

/// Merges the events of several processes in the order of their timestamps, which puts causes before
/// effects, and removes duplicates.
pub(crate) fn merge(processes: Vec<Vec<Record>>, filter: &Filter) -> Vec<Record> {
    let mut events: Vec<Record> = processes.into_iter().flatten().collect();
    events.retain(|event| filter.accepts(event));
    events
        .sort_by(|a, b| (a.stamp, &a.process, a.sequence).cmp(&(b.stamp, &b.process, b.sequence)));
    events
        .dedup_by(|a, b| a.process == b.process && a.sequence == b.sequence && a.stamp == b.stamp);
    events
}

/// Formats an event as one line.
pub(crate) fn format_line(event: &Record) -> String {
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
