use crate::node::{Endpoint, Node, INQUIRY_TIMEOUT};
use crate::peer::{request_from, Answer, Inquiry, Operation};
use futures_util::future::join_all;
use std::rc::Rc;
use std::time::Duration;

/// Members are asked once the store has confirmed nothing for this long: a little longer than a feed
/// without changes waits, so that none is asked while the store answers.
const ASK_AFTER: Duration = Duration::from_millis(1_800);
/// The interval between rounds; two fit into the rest of an owner's authority.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Asks all other members, while this process owns shards and the store does not confirm it,
/// whether any may have taken over.
///
/// During an outage of the store nobody can take over, so the owners go on as long as every member
/// says that it has not. A member that does not answer may be the one that has.
pub(crate) async fn confirm_with_peers(node: Rc<Node>) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let asked_at = node.clock.now();
        let terms = node.status().owned;
        let followed_at = node.store.followed_at(super::OWNERS_TABLE);
        let age = asked_at.saturating_sub(followed_at.unwrap_or_default());
        if terms.is_empty() || age < ASK_AFTER {
            continue;
        }
        let others: Vec<Endpoint> = node
            .members
            .borrow()
            .values()
            .filter(|member| member.node != node.name)
            .map(|member| member.endpoint())
            .collect();
        let answers = others.iter().map(|peer| {
            let operation = Operation::Inquire(Inquiry::Confirm {
                process: peer.process.clone(),
                terms: terms.clone(),
            });
            request_from(&node, peer, operation, INQUIRY_TIMEOUT)
        });
        let mut is_confirmed = true;
        for answer in join_all(answers).await {
            match answer {
                Some(Answer::Confirmed(true)) => {}
                Some(Answer::Superseded(shard, ownership)) => {
                    is_confirmed = false;
                    node.record_owner(&shard, ownership);
                }
                _ => is_confirmed = false,
            }
        }
        if is_confirmed {
            node.peers_confirmed_at.set(asked_at);
        }
    }
}
