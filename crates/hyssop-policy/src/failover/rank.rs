use super::Candidate;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Candidates with less than this part of the first choice's CPU share per shard are ranked behind
/// all others, whatever their data centre.
const MIN_SHARE_PART: u64 = 2;

/// What goes before the CPU share per shard; the lowest class first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    /// Whether the CPU share per shard is too far below the best.
    is_small: bool,
    /// Whether the process may still have to be restarted in the series under way; true for all
    /// without a series.
    is_next_to_stop: bool,
}

/// Returns the candidates' names for each vacant shard, first choice first.
///
/// A shard goes to the process with the largest CPU share per shard after the failover, and a hash
/// breaks ties. Rendezvous hashing alone would give one instance several shards while others have
/// none, which overloads a quarter of a core; counting shards alone would give a pool to an
/// instance with an eighth of a core. Candidates of similar shares alternate between data centres,
/// so that the loss of one leaves most of the first few.
///
/// During a series of planned stops, those that have been restarted in it go before the others, which
/// are about to be stopped, but not before one with twice their CPU share per shard: a further change
/// of owner costs a pool less than an instance that several pools overload.
///
/// Each vacant shard counts as owned by its first choice, so that several vacant shards are spread
/// over the candidates. The result depends on the sequence of `vacant`.
pub fn rank(vacant: &[String], candidates: &[Candidate]) -> BTreeMap<String, Vec<String>> {
    let mut owned: BTreeMap<&str, u64> = candidates
        .iter()
        .map(|candidate| (candidate.name.as_str(), candidate.owned as u64))
        .collect();
    let mut orders = BTreeMap::new();
    for shard in vacant {
        let share_per_shard = |candidate: &Candidate| {
            let count = owned[candidate.name.as_str()];
            candidate.share.max(1) / (count + 1)
        };
        let best = candidates.iter().map(share_per_shard).max().unwrap_or(0);
        let mut ranked: Vec<(Class, Reverse<u64>, u64, &Candidate)> = candidates
            .iter()
            .map(|candidate| {
                let share = share_per_shard(candidate);
                let class = Class {
                    is_small: share * MIN_SHARE_PART < best,
                    is_next_to_stop: !candidate.is_renewed,
                };
                let hash = xxh3_64(format!("{shard} {}", candidate.name).as_bytes());
                (class, Reverse(share), hash, candidate)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| (a.0, a.1, a.2, &a.3.name).cmp(&(b.0, b.1, b.2, &b.3.name)));
        if let Some((.., first)) = ranked.first() {
            owned.entry(&first.name).and_modify(|count| *count += 1);
        }
        orders.insert(shard.clone(), alternate_data_centres(&ranked));
    }
    orders
}

/// Returns the names of the ranked candidates; those of the same class alternate between data
/// centres.
fn alternate_data_centres(ranked: &[(Class, Reverse<u64>, u64, &Candidate)]) -> Vec<String> {
    let mut rows: Vec<(Class, usize, usize, &str)> = Vec::new();
    let mut seen: BTreeMap<(Class, &str), usize> = BTreeMap::new();
    for (position, (class, .., candidate)) in ranked.iter().enumerate() {
        let round = seen.entry((*class, &candidate.data_centre)).or_insert(0);
        let key = if class.is_small { 0 } else { *round };
        rows.push((*class, key, position, &candidate.name));
        *round += 1;
    }
    rows.sort_unstable();
    rows.into_iter().map(|(.., name)| name.to_owned()).collect()
}
