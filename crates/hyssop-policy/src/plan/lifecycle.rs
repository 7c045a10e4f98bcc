use super::{Budget, Draft, View};
use crate::assign;
use hyssop_model::instance::{Cause, State};
use hyssop_model::prelude::*;
use hyssop_platform::roster::{Listing, Presence};

/// Registers the platform's new instances in pools.
pub(super) fn register(draft: &mut Draft, view: &View) {
    let new = view
        .roster
        .values()
        .filter(|listing| listing.presence == Presence::Live);
    let new: Vec<&Listing> = new
        .filter(|listing| !draft.instances.contains_key(&listing.name))
        .collect();
    for listing in new {
        let Some(pool) = assign::pool_for_new(draft, &view.fleet, listing) else {
            return;
        };
        draft.register(instance::Record {
            key: listing.key,
            name: listing.name.clone(),
            address: listing.address.clone(),
            rack: listing.rack.clone(),
            data_centre: listing.data_centre.clone(),
            slots: listing.slots,
            connections: listing.connections,
            pool,
            state: State::Serving,
            moving_to: None,
            cause: None,
            maintained_ms: 0,
            boots: listing.boots,
            revision: 0,
        });
    }
}

/// Completes the drains that every entry that may be serving has confirmed.
pub(super) fn complete_drains(draft: &mut Draft, view: &View) {
    let draining = draft
        .instances
        .values()
        .filter(|record| record.state == State::Draining);
    let drained: Vec<instance::Record> = draining
        .filter(|record| view.is_drained(&record.name, record.revision))
        .cloned()
        .collect();
    for record in drained {
        if record.cause == Some(Cause::Move) {
            draft.serve(&record.name, None);
            continue;
        }
        let boots = view
            .roster
            .get(&record.name)
            .map_or(record.boots, |listing| listing.boots);
        draft.complete_drain(&record.name, boots);
    }
}

/// Begins the drains that operators requested, and returns instances to service whose drain was
/// withdrawn.
pub(super) fn apply_operator_drains(draft: &mut Draft, view: &View) {
    for name in view.drains.keys() {
        let Some(record) = draft.instances.get(name).cloned() else {
            continue;
        };
        match record.state {
            State::Serving => begin_drain(draft, view, &record, Cause::Operator),
            State::Draining | State::Out => {}
        }
    }
    let withdrawn: Vec<String> = draft
        .instances
        .values()
        .filter(|record| {
            record.cause == Some(Cause::Operator) && !view.drains.contains_key(&record.name)
        })
        .map(|record| record.name.clone())
        .collect();
    for name in withdrawn {
        if is_live(view, &name) {
            draft.serve(&name, None);
        }
    }
}

/// Begins the drains of instances that the platform withdraws, and returns them to service if they
/// are live again.
pub(super) fn apply_platform_withdrawals(draft: &mut Draft, view: &View) {
    let leaving = view
        .roster
        .values()
        .filter(|listing| listing.presence == Presence::Leaving);
    for listing in leaving {
        let Some(record) = draft.instances.get(&listing.name).cloned() else {
            continue;
        };
        if record.state == State::Serving {
            begin_drain(draft, view, &record, Cause::Platform);
        }
    }
    let live_again: Vec<String> = draft
        .instances
        .values()
        .filter(|record| record.cause == Some(Cause::Platform) && is_live(view, &record.name))
        .map(|record| record.name.clone())
        .collect();
    for name in live_again {
        draft.serve(&name, None);
    }
}

/// Begins the drain of an instance if the budget permits it, or records that it was deferred.
pub(super) fn begin_drain(draft: &mut Draft, view: &View, record: &instance::Record, cause: Cause) {
    match Budget::check(draft, view, record) {
        Ok(()) => draft.drain(&record.name, cause, None, view.wall_ms),
        Err(refusal) => draft.defer(&record.name, refusal.to_string()),
    }
}

pub(super) fn is_live(view: &View, name: &str) -> bool {
    let listing = view.roster.get(name);
    listing.is_some_and(|listing| listing.presence == Presence::Live)
}
