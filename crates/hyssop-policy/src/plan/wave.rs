use super::{lifecycle, Budget, Draft, View};
use hyssop_model::instance::{Cause, State};
use hyssop_model::intent::{Phase, Wave};
use hyssop_model::prelude::*;

/// The progress of a wave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The number of instances that the wave covers.
    pub covered: u32,
    /// The number of instances rebooted.
    pub done: u32,
    /// The number of instances being drained or rebooted.
    pub under_way: u32,
}

/// The estimated end of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Estimate {
    /// No estimate yet, since no instance has been rebooted.
    TooEarly,
    /// The end at the current rate, in milliseconds of the wall clock.
    At(u64),
}

impl Progress {
    /// Counts the progress of `wave`.
    pub fn count<'a>(wave: &Wave, instances: impl Iterator<Item = &'a instance::Record>) -> Self {
        let mut progress = Self::default();
        for record in instances.filter(|record| wave.scope.covers(record)) {
            progress.covered += 1;
            if record.maintained_ms >= wave.started_ms {
                progress.done += 1;
            } else if record.cause == Some(Cause::Maintenance) {
                progress.under_way += 1;
            }
        }
        progress
    }

    /// Estimates the end of the wave from its rate so far.
    pub fn estimate(&self, wave: &Wave, wall_ms: u64) -> Estimate {
        let elapsed_ms = wall_ms.saturating_sub(wave.started_ms);
        if self.done == 0 || elapsed_ms == 0 {
            return Estimate::TooEarly;
        }
        let left = u64::from(self.covered - self.done);
        Estimate::At(wall_ms + left * elapsed_ms / u64::from(self.done))
    }
}

/// Drains the next instances of the wave as the budgets permit, and returns rebooted instances to
/// service.
pub(super) fn advance(draft: &mut Draft, view: &View) {
    reboot_drained(draft, view);
    return_rebooted(draft, view);
    let Some(wave) = &view.wave else {
        return;
    };
    if wave.phase != Phase::Running {
        return;
    }
    for record in candidates(draft, view, wave) {
        if Budget::check(draft, view, &record).is_ok() {
            lifecycle::begin_drain(draft, view, &record, Cause::Maintenance);
        }
    }
    let progress = Progress::count(wave, draft.instances.values());
    if progress.done == progress.covered {
        draft.finish_wave(wave);
    }
}

/// Returns the serving instances that the wave still has to reboot, the unhealthy ones first.
fn candidates(draft: &Draft, view: &View, wave: &Wave) -> Vec<instance::Record> {
    let is_due = |record: &&instance::Record| {
        record.state == State::Serving
            && wave.scope.covers(record)
            && record.maintained_ms < wave.started_ms
    };
    let mut due: Vec<instance::Record> = draft.instances.values().filter(is_due).cloned().collect();
    due.sort_by_key(|record| {
        (
            view.is_healthy(&record.name),
            record.maintained_ms,
            record.name.clone(),
        )
    });
    due
}

/// Requests the reboot of the instances drained for maintenance. Repeating the request is harmless.
fn reboot_drained(draft: &mut Draft, view: &View) {
    let drained = draft.instances.values().filter(|record| {
        let is_out = record.state == State::Out && record.cause == Some(Cause::Maintenance);
        let listing = view.roster.get(&record.name);
        is_out && listing.is_some_and(|listing| listing.boots <= record.boots)
    });
    let names: Vec<String> = drained.map(|record| record.name.clone()).collect();
    draft.reboots.extend(names);
}

fn return_rebooted(draft: &mut Draft, view: &View) {
    let rebooted = draft.instances.values().filter(|record| {
        let is_out = record.state == State::Out && record.cause == Some(Cause::Maintenance);
        let listing = view.roster.get(&record.name);
        let is_rebooted = listing.is_some_and(|listing| listing.boots > record.boots);
        is_out && is_rebooted && lifecycle::is_live(view, &record.name)
    });
    let names: Vec<String> = rebooted.map(|record| record.name.clone()).collect();
    for name in names {
        draft.serve(&name, Some(view.wall_ms));
    }
}
