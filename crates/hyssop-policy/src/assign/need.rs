use hyssop_config::fleet::Pool;

/// Is how many instances a pool needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Need {
    /// Below this the pool's promise does not hold.
    pub least: u32,
    /// With this it also meets its sustained demand.
    pub wanted: u32,
}

/// The part of its slots that a pool's sustained demand may fill.
const FILL: f64 = 0.7;

/// The part of its slots that sustained demand may fill while an instance is out for a while.
const FILL_DURING_DISRUPTION: f64 = 0.9;

impl Need {
    /// Returns the instances that sustained demand keeps busy, which a disruption must leave.
    pub fn busy(sustained_slots: f64, slots: u32) -> u32 {
        (sustained_slots / (f64::from(slots.max(1)) * FILL_DURING_DISRUPTION)).ceil() as u32
    }
    /// Works out the need of a pool from its budget, its sustained demand in slots, the slots of
    /// one instance, and the most of its instances that share a rack.
    pub fn of(pool: &Pool, sustained_slots: f64, slots: u32, largest_rack: u32) -> Self {
        let survives = pool.budget + pool.survive_racks * largest_rack.max(1);
        let busy = (sustained_slots / (f64::from(slots.max(1)) * FILL)).ceil() as u32;
        Self {
            least: survives,
            wanted: survives.max(busy),
        }
    }
}
