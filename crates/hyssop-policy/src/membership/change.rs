use hyssop_model::entry::Phase;
use hyssop_model::epoch::Retired;
use hyssop_model::prelude::*;

/// Is what one entry sees of the membership.
#[derive(Clone, Debug)]
pub struct Observed<'a> {
    /// The entry that looks.
    pub own: entry::Id,
    /// All entry rows of the region.
    pub entries: &'a [entry::Record],
    /// The present epoch, if one was ever written.
    pub epoch: Option<&'a epoch::Record>,
    /// The wall clock, in milliseconds.
    pub wall_ms: u64,
    /// The bound between any two wall clocks, in milliseconds.
    pub clock_bound_ms: u64,
}

/// How long a former member stays in the epoch's record, in milliseconds.
const RETIRED_LIFE_MS: u64 = 120_000;

/// How long one that handed its claims over stays, so that its keys find their successors.
const CLEAN_LIFE_MS: u64 = 900_000;

/// Returns the epoch that `observed.own` should write now, if any.
///
/// An entry writes its own joining and its own leaving; the first living member in the epoch's order writes the rest,
/// so that a change is not raced by everybody.
pub fn next_epoch(observed: &Observed<'_>) -> Option<epoch::Record> {
    let empty = epoch::Record::default();
    let old = observed.epoch.unwrap_or(&empty);
    let is_living = |record: &&entry::Record| {
        record.phase == Phase::Serving
            && record.expires_ms + observed.clock_bound_ms >= observed.wall_ms
    };
    let living: Vec<&entry::Record> = observed.entries.iter().filter(is_living).collect();
    let is_live = |id: entry::Id| living.iter().any(|record| record.member.id == id);
    let staying: Vec<&entry::Member> = old
        .members
        .iter()
        .filter(|member| is_live(member.id))
        .collect();
    let joining: Vec<&entry::Record> = living
        .iter()
        .filter(|record| !old.contains(record.member.id))
        .copied()
        .collect();
    let is_first = staying
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
        old.contains(observed.own) && own_rows.any(|record| record.phase == Phase::Leaving);
    let is_unchanged = joining.is_empty() && staying.len() == old.members.len();
    if is_unchanged || !(is_first || is_joining || is_leaving) {
        return None;
    }
    let is_cold = staying.is_empty() && old.number > 0;
    let mut members: Vec<entry::Member> = staying.iter().map(|member| (*member).clone()).collect();
    members.extend(joining.iter().map(|record| record.member.clone()));
    Some(epoch::Record {
        number: old.number + 1,
        retired: retired(observed, old, &members),
        cold_start_ms: if is_cold {
            observed.wall_ms
        } else {
            old.cold_start_ms
        },
        members,
        written_ms: observed.wall_ms,
    })
}

fn retired(
    observed: &Observed<'_>,
    old: &epoch::Record,
    members: &[entry::Member],
) -> Vec<Retired> {
    let is_recent = |retired: &&Retired| {
        let life_ms = if retired.is_clean {
            CLEAN_LIFE_MS
        } else {
            RETIRED_LIFE_MS
        };
        retired.removed_ms + life_ms > observed.wall_ms
    };
    let is_clean = |id: entry::Id| {
        let mut records = observed.entries.iter();
        records.any(|record| record.member.id == id && record.is_handed_over)
    };
    let earlier = old.retired.iter().filter(is_recent).copied();
    let is_member = |id: entry::Id| members.iter().any(|member| member.id == id);
    let removed = old.members.iter().filter(|member| !is_member(member.id));
    let now = removed.map(|member| Retired {
        id: member.id,
        removed_ms: observed.wall_ms,
        is_clean: is_clean(member.id),
    });
    earlier.chain(now).collect()
}
