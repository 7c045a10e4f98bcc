use crate::plan::Draft;
use hyssop_config::fleet::Fleet;
use hyssop_model::prelude::*;
use hyssop_platform::roster::Listing;

/// Returns the pool that a new instance is best for: the emptiest for its size, and among equals
/// the one with the fewest instances in the same rack, then in the same data centre.
pub fn pool_for_new(draft: &Draft, fleet: &Fleet, listing: &Listing) -> Option<String> {
    let rank = |name: &str, size: u32| {
        let crowd = Crowd::count(draft, name, &listing.rack, &listing.data_centre);
        let fill_per_mille = crowd.total * 1000 / size.max(1);
        (
            crowd.total >= size,
            crowd.rack,
            fill_per_mille,
            crowd.data_centre,
        )
    };
    let best = fleet
        .pools
        .iter()
        .min_by_key(|pool| rank(&pool.name, pool.size))?;
    let is_full =
        Crowd::count(draft, &best.name, &listing.rack, &listing.data_centre).total >= best.size;
    Some(if is_full {
        fleet.spare.clone()
    } else {
        best.name.clone()
    })
}

/// Counts a pool's instances around a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Crowd {
    pub(super) total: u32,
    pub(super) rack: u32,
    pub(super) data_centre: u32,
}

impl Crowd {
    /// Counts the instances that belong to `pool` or are on their way to it.
    pub(super) fn count(draft: &Draft, pool: &str, rack: &str, data_centre: &str) -> Self {
        let mut crowd = Self::default();
        for record in draft
            .instances
            .values()
            .filter(|record| destination(record) == pool)
        {
            crowd.total += 1;
            crowd.rack += u32::from(record.rack == rack);
            crowd.data_centre += u32::from(record.data_centre == data_centre);
        }
        crowd
    }
}

/// Returns the pool that an instance belongs to once its move is done.
pub(super) fn destination(record: &instance::Record) -> &str {
    record.moving_to.as_deref().unwrap_or(&record.pool)
}
