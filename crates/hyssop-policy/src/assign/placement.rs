use crate::plan::Draft;
use hyssop_config::fleet::Fleet;
use hyssop_model::prelude::*;
use hyssop_platform::roster::Listing;

/// Returns the pool that a new instance joins, or the spare pool if every pool has its full size.
///
/// Prefers pools below their size, then the one with the fewest instances in the same rack, then
/// the emptiest for its size, then the one with the fewest in the same data centre.
pub fn pool_for_new(draft: &Draft, fleet: &Fleet, listing: &Listing) -> Option<String> {
    let rank = |name: &str, size: u32| {
        let occupancy = Occupancy::count(draft, name, &listing.rack, &listing.data_centre);
        let occupied_per_mille = occupancy.total * 1000 / size.max(1);
        (
            occupancy.total >= size,
            occupancy.rack,
            occupied_per_mille,
            occupancy.data_centre,
        )
    };
    let best = fleet
        .pools
        .iter()
        .min_by_key(|pool| rank(&pool.name, pool.size))?;
    let is_full =
        Occupancy::count(draft, &best.name, &listing.rack, &listing.data_centre).total >= best.size;
    Some(if is_full {
        fleet.spare.clone()
    } else {
        best.name.clone()
    })
}

/// The number of a pool's instances in all, in one rack and in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Occupancy {
    pub(super) total: u32,
    pub(super) rack: u32,
    pub(super) data_centre: u32,
}

impl Occupancy {
    /// Counts the instances that belong to `pool` or are on their way to it.
    pub(super) fn count(draft: &Draft, pool: &str, rack: &str, data_centre: &str) -> Self {
        let mut occupancy = Self::default();
        for record in draft
            .instances
            .values()
            .filter(|record| destination(record) == pool)
        {
            occupancy.total += 1;
            occupancy.rack += u32::from(record.rack == rack);
            occupancy.data_centre += u32::from(record.data_centre == data_centre);
        }
        occupancy
    }
}

/// Returns the pool that an instance belongs to after its current move, if any.
pub(super) fn destination(record: &instance::Record) -> &str {
    record.moving_to.as_deref().unwrap_or(&record.pool)
}
