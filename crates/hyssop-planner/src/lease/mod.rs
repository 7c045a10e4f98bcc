//! The planner's lease of its region.

mod region_lease;

pub(crate) use region_lease::RegionLease;
