use hyssop_model::entry::Phase;
use hyssop_model::epoch::Retired;
use hyssop_model::prelude::*;

/// The membership as seen by one entry.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The entry itself.
    pub own: entry::Id,
    /// All entry rows of the region.
    pub entries: &'a [entry::Record],
    /// The current epoch, if one was ever written.
    pub epoch: Option<&'a epoch::Record>,
    /// The wall clock, in milliseconds.
    pub wall_ms: u64,
    /// The maximum difference between two wall clocks, in milliseconds.
    pub max_clock_skew_ms: u64,
}

/// How long a former member stays in the epoch record.
const RETIRED_RETENTION_MS: u64 = 120_000;

/// How long a former member stays in the epoch record if it handed over its claims. The time is
/// longer so that its keys can be mapped to their new homes.
const CLEAN_RETENTION_MS: u64 = 900_000;

/// Returns the epoch that `observed.own` should write now, if any.
///
/// An entry writes its own joining and leaving. All other changes are written by the first live
/// member in the order of the epoch, so that the members don't race to write the same change.
pub fn next_epoch(observed: &View<'_>) -> Option<epoch::Record> {
    let empty = epoch::Record::default();
    let previous = observed.epoch.unwrap_or(&empty);
    let is_alive = |record: &&entry::Record| {
        record.phase == Phase::Serving
            && record.expires_ms + observed.max_clock_skew_ms >= observed.wall_ms
    };
    let alive: Vec<&entry::Record> = observed.entries.iter().filter(is_alive).collect();
    let is_alive_member = |id: entry::Id| alive.iter().any(|record| record.member.id == id);
    let staying: Vec<&entry::Member> = previous
        .members
        .iter()
        .filter(|member| is_alive_member(member.id))
        .collect();
    let joining: Vec<&entry::Record> = alive
        .iter()
        .filter(|record| !previous.contains(record.member.id))
        .copied()
        .collect();
    let is_first_member = staying
        .first()
        .is_some_and(|member| member.id == observed.own);
    let is_joining = joining
        .iter()
        .any(|record| record.member.id == observed.own);
    let mut own_rows = observed
        .entries
        .iter()
        .filter(|record| record.member.id == observed.own);
    let is_leaving =
        previous.contains(observed.own) && own_rows.any(|record| record.phase == Phase::Leaving);
    let is_unchanged = joining.is_empty() && staying.len() == previous.members.len();
    if is_unchanged || !(is_first_member || is_joining || is_leaving) {
        return None;
    }
    let is_cold_start = staying.is_empty() && previous.number > 0;
    let mut members: Vec<entry::Member> = staying.iter().map(|member| (*member).clone()).collect();
    members.extend(joining.iter().map(|record| record.member.clone()));
    Some(epoch::Record {
        number: previous.number + 1,
        retired: retired(observed, previous, &members),
        cold_start_ms: if is_cold_start {
            observed.wall_ms
        } else {
            previous.cold_start_ms
        },
        members,
        written_ms: observed.wall_ms,
    })
}

fn retired(
    observed: &View<'_>,
    previous: &epoch::Record,
    members: &[entry::Member],
) -> Vec<Retired> {
    let is_retained = |retired: &&Retired| {
        let retention_ms = if retired.is_clean {
            CLEAN_RETENTION_MS
        } else {
            RETIRED_RETENTION_MS
        };
        retired.removed_ms + retention_ms > observed.wall_ms
    };
    let is_clean = |id: entry::Id| {
        let mut records = observed.entries.iter();
        records.any(|record| record.member.id == id && record.is_handed_over)
    };
    let retained = previous.retired.iter().filter(is_retained).copied();
    let is_member = |id: entry::Id| members.iter().any(|member| member.id == id);
    let removed = previous
        .members
        .iter()
        .filter(|member| !is_member(member.id));
    let newly_retired = removed.map(|member| Retired {
        id: member.id,
        removed_ms: observed.wall_ms,
        is_clean: is_clean(member.id),
    });
    retained.chain(newly_retired).collect()
}
