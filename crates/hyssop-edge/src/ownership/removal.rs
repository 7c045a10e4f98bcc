use super::OWNERS_TABLE;
use crate::node::{Endpoint, Node};
use crate::peer::reach;
use hyssop_platform::rows::{Key, Transaction};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The interval between checks of one member each, by the owner of the fleet shard.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const REACH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A member is removed after this many missed checks in a row.
const MAX_MISSED_CHECKS: u32 = 3;
/// The least time between the first and the last of them, longer than an instance is usually
/// suspended or partitioned.
const MIN_ABSENCE: Duration = Duration::from_secs(10);

/// Missed checks of a member.
struct Absence {
    endpoint: Endpoint,
    since: Duration,
    missed_checks: u32,
}

/// Removes the rows of members that are gone for good, while this process owns the fleet shard.
/// A process that was removed by mistake registers again.
pub(crate) async fn remove_lost_members(node: Rc<Node>) {
    let mut last_checked = String::new();
    let mut absences: BTreeMap<String, Absence> = BTreeMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if node.fleet_term.get().is_none() || node.store.failed_since().is_some() {
            absences.clear();
            continue;
        }
        let Some(endpoint) = next_member(&node, &last_checked) else {
            continue;
        };
        last_checked.clone_from(&endpoint.node);
        let now = node.clock.now();
        if reach(&node, &endpoint, REACH_TIMEOUT).await {
            absences.remove(&endpoint.node);
            continue;
        }
        let absence = absences
            .entry(endpoint.node.clone())
            .and_modify(|absence| {
                if absence.endpoint != endpoint {
                    *absence = Absence::new(endpoint.clone(), now);
                }
            })
            .or_insert_with(|| Absence::new(endpoint.clone(), now));
        absence.missed_checks += 1;
        let is_gone = absence.missed_checks >= MAX_MISSED_CHECKS
            && now.saturating_sub(absence.since) >= MIN_ABSENCE;
        if is_gone {
            absences.remove(&endpoint.node);
            remove(&node, &endpoint).await;
        }
    }
}

impl Absence {
    fn new(endpoint: Endpoint, since: Duration) -> Self {
        Self {
            endpoint,
            since,
            missed_checks: 0,
        }
    }
}

/// Returns the member that comes after `last` by name; owners are left to their watchers.
fn next_member(node: &Node, last: &str) -> Option<Endpoint> {
    let owners = node.owners.borrow();
    let is_owner = |name: &str| owners.values().any(|owner| owner.node == name);
    let members = node.members.borrow();
    let eligible = || {
        members
            .values()
            .filter(|member| member.node != node.name && !is_owner(&member.node))
    };
    eligible()
        .find(|member| member.node.as_str() > last)
        .or_else(|| eligible().next())
        .map(|member| member.endpoint())
}

/// Removes a member's row, unless another process has written it meanwhile.
async fn remove(node: &Node, endpoint: &Endpoint) {
    let Some(page) = node.store.read(OWNERS_TABLE, "").await else {
        return;
    };
    let row = page.rows.iter().find(|row| row.key.key == endpoint.node);
    let Some(row) = row else {
        return;
    };
    let is_same =
        super::registry::read_member(row).is_some_and(|member| member.process == endpoint.process);
    if !is_same {
        return;
    }
    let key = Key::new(OWNERS_TABLE, "", &endpoint.node);
    let transaction = Transaction {
        expected: vec![(key.clone(), row.version)],
        writes: Vec::new(),
        removes: vec![key],
    };
    let outcome = node.store.commit(&transaction).await;
    log::info!(
        "event=member-removed member={} process={} outcome={outcome:?}",
        endpoint.node,
        endpoint.process
    );
}
