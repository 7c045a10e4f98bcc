use hyssop_config::fleet::Pool;

/// The number of instances that a pool needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Need {
    /// The number with which the pool keeps its availability budget after the loss of the racks that
    /// it must survive.
    pub minimum: u32,
    /// The number that also meets the pool's sustained demand.
    pub target: u32,
}

/// The fraction of a pool's slots that its sustained demand may use.
const MAX_UTILIZATION: f64 = 0.7;

/// The fraction of a pool's slots that its sustained demand may use during a planned disruption.
const MAX_UTILIZATION_DURING_DISRUPTION: f64 = 0.9;

impl Need {
    /// Returns the number of instances that sustained demand keeps busy and that a disruption must
    /// leave in service.
    pub fn busy(sustained_slots: f64, slots: u32) -> u32 {
        (sustained_slots / (f64::from(slots.max(1)) * MAX_UTILIZATION_DURING_DISRUPTION)).ceil()
            as u32
    }
    /// Calculates the need of a pool from its budget, its sustained demand in slots, the slots of
    /// one instance, and the size of its largest group of instances that share a rack.
    pub fn of(pool: &Pool, sustained_slots: f64, slots: u32, largest_rack: u32) -> Self {
        let required = pool.budget + pool.survive_racks * largest_rack.max(1);
        let busy = (sustained_slots / (f64::from(slots.max(1)) * MAX_UTILIZATION)).ceil() as u32;
        Self {
            minimum: required,
            target: required.max(busy),
        }
    }
}
