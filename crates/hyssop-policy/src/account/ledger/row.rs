use super::share::{lower, upper, Share};
use hyssop_model::work::Resources;
use hyssop_platform::rows;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The layout of the rows.
const LAYOUT: u32 = 1;

/// The row of an account: the parts of its quota that each pool was granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    layout: u32,
    /// The newest version of the configuration that a writer used.
    pub version: u64,
    /// The account's quota.
    pub quota: Resources,
    /// The version of the configuration that the quota is from, which may be older if the account is not in
    /// the configuration any more.
    pub quota_version: u64,
    /// The number of times that a pool was granted its largest task.
    pub round: u64,
    /// The grants, by pool.
    pub pools: BTreeMap<String, Grant>,
}

/// What one pool was granted of an account's quota, and what it needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The term of the pool's owner that wrote it last.
    pub term: u64,
    /// The quota to which the shares refer.
    pub quota: Resources,
    /// The share that the account's tasks in this pool may hold.
    pub grant: Share,
    /// The share that they would hold if none waited for quota.
    pub need: Share,
    /// The share that the largest task or gang takes that could start.
    pub unit: Share,
    /// The round in which the pool was granted its largest task last.
    pub served: u64,
}

/// Why a row can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Unreadable {
    /// It is malformed.
    Malformed,
    /// A process of a later version has written it.
    NewerLayout,
}

/// What every layout has.
#[derive(Deserialize)]
struct Header {
    layout: u32,
}

impl Default for Row {
    fn default() -> Self {
        Self {
            layout: LAYOUT,
            version: 0,
            quota: Resources::default(),
            quota_version: 0,
            round: 1,
            pools: BTreeMap::new(),
        }
    }
}

impl Row {
    /// Decodes a row's value.
    ///
    /// # Errors
    ///
    /// Fails when the value is malformed or has another layout.
    pub fn read(value: &[u8]) -> Result<Self, Unreadable> {
        let header: Header = rows::decode(value).ok_or(Unreadable::Malformed)?;
        if header.layout > LAYOUT {
            return Err(Unreadable::NewerLayout);
        }
        rows::decode(value).ok_or(Unreadable::Malformed)
    }

    /// Returns the most that the pools may hold together, as a share of `quota`.
    pub fn sum(&self, quota: &Resources) -> Share {
        let grants = self.pools.values().map(|grant| grant.upper(quota));
        grants.fold(0, Share::saturating_add)
    }
}

impl Grant {
    /// Returns the most that the pool may hold, as a share of `quota`.
    pub fn upper(&self, quota: &Resources) -> Share {
        upper(self.grant, &self.quota, quota)
    }

    /// Returns what the pool may hold in any case, as a share of `quota`.
    pub fn lower(&self, quota: &Resources) -> Share {
        lower(self.grant, &self.quota, quota)
    }

    /// Returns the need and the largest task as shares of `quota`.
    pub(super) fn needs(&self, quota: &Resources) -> (Share, Share) {
        let convert = |share| upper(share, &self.quota, quota).min(super::WHOLE);
        (convert(self.need), convert(self.unit))
    }

    /// Returns whether the pool needs more than it was granted.
    pub fn is_short(&self) -> bool {
        self.need > self.grant
    }
}
