use super::Instance;
use hyssop_model::instance::Key;
use hyssop_platform::roster::{Listing, Presence};
use std::sync::atomic::Ordering;

/// Returns an instance's entry in the platform's list of instances.
pub(super) fn listing(instance: &Instance) -> Listing {
    Listing {
        key: Key(instance.number),
        name: instance.name.clone(),
        address: instance.address.to_string(),
        rack: instance.rack.clone(),
        data_centre: instance.data_centre.clone(),
        slots: instance.slots,
        connections: instance.connection_limit,
        presence: if instance.is_up.load(Ordering::SeqCst) {
            Presence::Live
        } else {
            Presence::Gone
        },
        boots: instance.boots.load(Ordering::SeqCst),
    }
}
