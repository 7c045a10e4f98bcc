//! The measurements, one module each.

mod all;
mod capacity;
mod drain;
mod faults;
mod flood;
mod jobs;
mod jobs_live;
mod links;
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
pub(crate) use links::links;
pub(crate) use outliers::outliers;
pub(crate) use overhead::overhead;
pub(crate) use owner::owner;
pub(crate) use rollout::rollout;
pub(crate) use skew::skew;
pub(crate) use slopes::slopes;
pub(crate) use storm::storm;

/// The parameters of a measurement.
#[derive(Clone, Debug)]
pub(crate) struct Parameters {
    /// The seed of the random number generators.
    pub(crate) seed: u64,
    /// The operators' configuration.
    pub(crate) config: String,
    /// Whether the baselines, which are run for comparison, are skipped.
    pub(crate) is_without_baselines: bool,
}
