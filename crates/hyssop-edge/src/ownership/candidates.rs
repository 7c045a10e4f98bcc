use crate::node::{Endpoint, Node};
use hyssop_policy::failover::{self, Candidate};
use std::collections::{BTreeMap, BTreeSet};

/// Returns the processes that may take over each of the vacant shards, first choice first. The
/// present owners of other shards rank behind processes that own none.
pub(super) fn rank(node: &Node, vacant: &[String]) -> BTreeMap<String, Vec<String>> {
    let owners = node.owners.borrow();
    let mut owned: BTreeMap<&str, usize> = BTreeMap::new();
    for (shard, owner) in owners.iter() {
        if !vacant.contains(shard) {
            *owned.entry(&owner.node).or_insert(0) += 1;
        }
    }
    let members = node.members.borrow();
    // From the rows alone, so that all processes come to the same order.
    let series = members
        .values()
        .filter(|member| member.is_leaving)
        .map(|member| member.series.unwrap_or(member.version))
        .filter(|first| *first > 0)
        .min();
    let candidates: Vec<Candidate> = members
        .values()
        .filter(|member| !member.is_leaving)
        .map(|member| Candidate {
            name: member.node.clone(),
            data_centre: member.data_centre.clone(),
            owned: owned.get(member.node.as_str()).copied().unwrap_or(0),
            share: member.share,
            is_renewed: series.is_some_and(|first| member.version > first),
        })
        .collect();
    failover::rank(vacant, &candidates)
}

/// Returns the processes that may take over a shard from its owner, first choice first.
pub(super) fn successors(node: &Node, shard: &str) -> Vec<String> {
    let owner = node
        .owners
        .borrow()
        .get(shard)
        .map(|owner| owner.node.clone());
    let mut ranked = rank(node, &[shard.to_owned()]);
    let mut order = ranked.remove(shard).unwrap_or_default();
    order.retain(|name| Some(name) != owner.as_ref());
    order
}

/// Returns `count` processes of a shard's order of succession, without this one: the first for
/// `round` 0, the next for each further round, and the first again after the last.
pub(super) fn window(node: &Node, order: &[String], count: usize, round: usize) -> Vec<Endpoint> {
    let members = node.members.borrow();
    let others: Vec<Endpoint> = order
        .iter()
        .filter(|name| **name != node.name)
        .filter_map(|name| Some(members.get(name)?.endpoint()))
        .collect();
    let chosen: BTreeSet<usize> = (round * count..(round + 1) * count)
        .filter_map(|position| position.checked_rem(others.len()))
        .collect();
    chosen
        .into_iter()
        .map(|position| others[position].clone())
        .collect()
}
