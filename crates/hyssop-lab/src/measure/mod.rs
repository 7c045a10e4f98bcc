//! The measures, one file each.

mod all;
mod capacity;
mod drain;
mod faults;
mod flood;
mod jobs;
mod jobs_live;
mod load;
mod outliers;
mod overhead;
mod owner;
mod rollout;
mod skew;
mod slopes;
mod storm;

pub(crate) use all::{all, plots};
pub(crate) use capacity::capacity;
pub(crate) use drain::drain;
pub(crate) use faults::faults;
pub(crate) use flood::flood;
pub(crate) use jobs::jobs;
pub(crate) use jobs_live::jobs_live;
pub(crate) use outliers::outliers;
pub(crate) use overhead::overhead;
pub(crate) use owner::owner;
pub(crate) use rollout::rollout;
pub(crate) use skew::skew;
pub(crate) use slopes::slopes;
pub(crate) use storm::storm;

/// Is what a measure was called with.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The seed of everything drawn.
    pub(crate) seed: u64,
    /// The operators' configuration.
    pub(crate) config: String,
    /// Whether baselines are left out.
    pub(crate) is_ours_only: bool,
}
