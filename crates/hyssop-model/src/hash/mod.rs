//! Rendezvous hashing, after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
//! Rates", IEEE/ACM Transactions on Networking 6(1), 1998, with the weights of Schindelhauer and
//! Schomaker, "Weighted Distributed Hash Tables", SPAA 2005.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous score of `node` for `item`; the node with the highest score owns it.
///
/// The number of items a node owns is proportional to its `weight`. The score depends only on the
/// arguments, so processes agree on the owner without communicating.
pub fn score(item: &[u8], node: u64, weight: f64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let hash = xxh3_64_with_seed(item, node);
    let unit =
        ((hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5) / (1u64 << MANTISSA_BITS) as f64;
    -weight / unit.ln()
}

/// Returns the owner of `item` among weighted nodes, or `None` if there are no nodes.
pub fn owner(item: &[u8], nodes: impl Iterator<Item = (u64, f64)>) -> Option<u64> {
    nodes
        .map(|(node, weight)| (score(item, node, weight), node))
        .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
        .map(|(_, node)| node)
}
