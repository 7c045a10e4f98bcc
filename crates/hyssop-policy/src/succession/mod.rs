//! Who takes over a part that has no owner.
//!
//! Every process works out the same order from what it knows; the compare-and-set on the part's
//! row decides where they know different things. Options weighed: plain rendezvous hashing loads
//! one instance with several parts while others have none, which a quarter of a core does not
//! bear; the fewest parts alone gives a pool to an instance with an eighth of a core. So the part
//! goes where the processor's share for each part stays largest, and the hash only breaks ties.

mod candidate;

pub use candidate::Candidate;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Returns, for each part of `vacant` in their order, the candidates' names, first choice first.
///
/// A vacant part counts for its first choice, so that several vacant parts are spread.
pub fn order(vacant: &[String], candidates: &[Candidate]) -> BTreeMap<String, Vec<String>> {
    let mut owned: BTreeMap<&str, (u64, u64)> = candidates
        .iter()
        .map(|candidate| {
            let state = (candidate.owned as u64, candidate.share.max(1));
            (candidate.name.as_str(), state)
        })
        .collect();
    let mut orders = BTreeMap::new();
    for part in vacant {
        let mut ranked: Vec<(Reverse<u64>, u64, &str)> = owned
            .iter()
            .map(|(name, (count, share))| {
                let hash = xxh3_64(format!("{part} {name}").as_bytes());
                (Reverse(share / (count + 1)), hash, *name)
            })
            .collect();
        ranked.sort_unstable();
        if let Some((_, _, first)) = ranked.first() {
            owned.entry(first).and_modify(|(count, _)| *count += 1);
        }
        let names = ranked.into_iter().map(|(_, _, name)| name.to_owned());
        orders.insert(part.clone(), names.collect());
    }
    orders
}
