//! Selection of the process that takes over a shard without an owner.
//!
//! Every process computes the order from its own view; the compare-and-set on the shard's row
//! decides where the views differ. A shard goes to the process with the largest CPU share per
//! shard after the failover, and a hash breaks ties. Rendezvous hashing alone would give one
//! instance several shards while others have none, which overloads a quarter of a core; counting
//! shards alone would give a pool to an instance with an eighth of a core.

mod candidate;

pub use candidate::Candidate;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the candidates' names for each vacant shard, first choice first.
///
/// Each vacant shard counts as owned by its first choice, so that several vacant shards are spread
/// over the candidates. The result depends on the sequence of `vacant`.
pub fn rank(vacant: &[String], candidates: &[Candidate]) -> BTreeMap<String, Vec<String>> {
    let mut owned: BTreeMap<&str, (u64, u64)> = candidates
        .iter()
        .map(|candidate| {
            let state = (candidate.owned as u64, candidate.share.max(1));
            (candidate.name.as_str(), state)
        })
        .collect();
    let mut orders = BTreeMap::new();
    for shard in vacant {
        let mut ranked: Vec<(Reverse<u64>, u64, &str)> = owned
            .iter()
            .map(|(name, (count, share))| {
                let hash = xxh3_64(format!("{shard} {name}").as_bytes());
                (Reverse(share / (count + 1)), hash, *name)
            })
            .collect();
        ranked.sort_unstable();
        if let Some((_, _, first)) = ranked.first() {
            owned.entry(first).and_modify(|(count, _)| *count += 1);
        }
        let names = ranked.into_iter().map(|(_, _, name)| name.to_owned());
        orders.insert(shard.clone(), names.collect());
    }
    orders
}
