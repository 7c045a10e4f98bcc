use super::Candidate;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Candidates with less than this part of the first choice's CPU share per shard are ranked behind
/// all others, whatever their data centre.
const MIN_SHARE_PART: u64 = 2;

/// Returns the candidates' names for each vacant shard, first choice first.
///
/// A shard goes to the process with the largest CPU share per shard after the failover, and a hash
/// breaks ties. Rendezvous hashing alone would give one instance several shards while others have
/// none, which overloads a quarter of a core; counting shards alone would give a pool to an
/// instance with an eighth of a core. Candidates of similar shares alternate between data centres,
/// so that the loss of one leaves most of the first few.
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
        let mut ranked: Vec<(Reverse<u64>, u64, &Candidate)> = candidates
            .iter()
            .map(|candidate| {
                let count = owned[candidate.name.as_str()];
                let share = candidate.share.max(1) / (count + 1);
                let hash = xxh3_64(format!("{shard} {}", candidate.name).as_bytes());
                (Reverse(share), hash, candidate)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| (a.0, a.1, &a.2.name).cmp(&(b.0, b.1, &b.2.name)));
        if let Some((_, _, first)) = ranked.first() {
            owned.entry(&first.name).and_modify(|count| *count += 1);
        }
        orders.insert(shard.clone(), alternate_data_centres(&ranked));
    }
    orders
}

/// Returns the names of the ranked candidates; those with similar shares alternate between data
/// centres.
fn alternate_data_centres(ranked: &[(Reverse<u64>, u64, &Candidate)]) -> Vec<String> {
    let best = ranked.first().map_or(0, |(Reverse(share), ..)| *share);
    let mut rows: Vec<(bool, usize, usize, &str)> = Vec::new();
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for (position, (Reverse(share), _, candidate)) in ranked.iter().enumerate() {
        let is_small = *share * MIN_SHARE_PART < best;
        let round = seen.entry(&candidate.data_centre).or_insert(0);
        let key = if is_small { 0 } else { *round };
        rows.push((is_small, key, position, &candidate.name));
        *round += 1;
    }
    rows.sort_unstable();
    rows.into_iter().map(|(.., name)| name.to_owned()).collect()
}
