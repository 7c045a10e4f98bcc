//! Links between edge processes: how many there are, and failovers without a mesh.

mod support;

use futures_util::{SinkExt, StreamExt};
use platform_standin::Platform;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::BTreeSet;
use std::io::Write;
use std::time::Duration;
use support::{job, platform, wait_until, Edge};
use tokio_tungstenite::tungstenite::Message;

/// Returns the processes' names, which the platform assigns.
fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("e{number}")).collect()
}

/// Returns how many links all processes have together, or `None` if one can't be asked.
fn links(edges: &[Edge]) -> Option<f64> {
    edges
        .iter()
        .map(|edge| edge.metric("hyssop_peer_links"))
        .sum()
}

/// Starts processes at the same time. One that is ready long before the others takes over all shards, as it
/// should, and on a busy machine each start takes a good part of a second.
fn start_together(platform: &Platform, names: &[String]) -> Vec<Edge> {
    std::thread::scope(|scope| {
        let starts: Vec<_> = names
            .iter()
            .map(|name| scope.spawn(|| Edge::start(platform, name)))
            .collect();
        let edges = starts.into_iter().map(|start| start.join());
        edges
            .map(|edge| edge.expect("the process starts"))
            .collect()
    })
}

/// Starts `count` processes and waits until each of the three shards has an owner of its own.
fn start_with_owners(platform: &Platform, count: usize) -> Vec<Edge> {
    let edges = start_together(platform, &names(count));
    wait_until("all shards have owners", || {
        edges.iter().filter(|edge| edge.is_owner()).count() == 3
    });
    edges
}

/// Returns a runtime for links of the test itself.
fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Each process had a link to every other, 90 in all here.
#[test]
fn processes_that_serve_nobody_have_few_links() {
    let platform = platform();
    let edges = start_with_owners(&platform, 10);
    // Nine links among the watchers of each of three shards and their owner, those of the fleet's
    // owner to the pools' owners, and one that checks a member.
    const MAX_LINKS: f64 = 3.0 * 9.0 + 2.0 + 5.0;
    wait_until("only needed links are left", || {
        links(&edges).is_some_and(|count| (6.0..=MAX_LINKS).contains(&count))
    });
}

/// The process whose feed was answered late knew no other and took over all shards
/// (processes_that_serve_nobody_have_few_links, 1 of 16 runs).
#[test]
fn process_with_a_late_feed_leaves_shards_to_others() {
    /// Longer than a process waits after its start before it takes over shards, and shorter than it
    /// waits for the answer of a feed.
    const DELAY: Duration = Duration::from_millis(1_800);
    let platform = platform();
    platform.set_feed_delay(DELAY);
    let late = Edge::start(&platform, "e0");
    wait_until("the process follows the members", || {
        platform.delayed_feeds() >= 2
    });
    platform.set_feed_delay(Duration::ZERO);
    let mut edges = vec![late];
    edges.extend(start_together(&platform, &names(4)[1..]));
    wait_until("all shards have owners", || {
        edges.iter().map(Edge::owned_shards).sum::<usize>() == 3
    });
    let owned: Vec<usize> = edges.iter().map(Edge::owned_shards).collect();
    assert!(owned.iter().all(|count| *count <= 1), "{owned:?}");
}

#[test]
fn owners_killed_with_most_other_processes_are_replaced() {
    let platform = platform();
    let edges = start_with_owners(&platform, 8);
    edges[0].submit_until_accepted("/a/00000000000000a1", &job(2, 2, 700));
    edges[0].submit_until_accepted("/b/00000000000000b1", &job(2, 2, 700));
    let (owners, mut others): (Vec<Edge>, Vec<Edge>) = edges.into_iter().partition(Edge::is_owner);
    let survivors = others.split_off(2);
    for mut edge in owners.into_iter().chain(others) {
        edge.kill();
    }
    for path in ["/a/00000000000000a1", "/b/00000000000000b1"] {
        wait_until("the job is done", || survivors[0].state(path) == "done");
    }
    survivors[1].submit_until_accepted("/a/00000000000000a2", &job(1, 2, 50));
    let started = platform.started_tasks();
    let distinct: BTreeSet<&String> = started.iter().collect();
    assert_eq!(started.len(), distinct.len(), "no task started twice");
}

/// A paused process that wakes after another has taken over must not start or stop anything.
#[test]
fn paused_owner_is_replaced_and_does_not_act_after_it_wakes() {
    let platform = platform();
    let edges = start_with_owners(&platform, 4);
    let front = edges
        .iter()
        .find(|edge| !edge.is_owner())
        .expect("a process without a shard");
    let paths: Vec<String> = (0..6)
        .map(|n| format!("/{}/{n:016x}", if n % 2 == 0 { "a" } else { "b" }))
        .collect();
    for path in &paths {
        front.submit_until_accepted(path, &job(3, 2, 600));
    }
    let owners: Vec<&Edge> = edges.iter().filter(|edge| edge.is_owner()).collect();
    owners.iter().take(2).for_each(|edge| edge.signal("STOP"));
    std::thread::sleep(Duration::from_millis(2_500));
    owners.iter().take(2).for_each(|edge| edge.signal("CONT"));
    for path in &paths {
        wait_until("the job is done", || front.state(path) == "done");
    }
    assert!(platform.overlapping_tasks().is_empty());
}

/// A worker runs what it was ordered and its answer is late or lost: it isn't run again, and its
/// end is learned from the next report.
#[test]
fn late_answers_of_workers_repeat_no_task() {
    let platform = platform();
    let edge = Edge::start(&platform, "e1");
    edge.submit_until_accepted("/a/00000000000000a0", &job(1, 1, 50));
    // Longer than the timeouts of orders and of reports.
    platform.set_late_answers(3, Duration::from_millis(1_500));
    let paths: Vec<String> = (1..6).map(|n| format!("/a/{n:016x}")).collect();
    for path in &paths {
        edge.submit_until_accepted(path, &job(2, 3, 200));
    }
    for path in &paths {
        wait_until("the job is done", || edge.state(path) == "done");
    }
    platform.set_late_answers(0, Duration::ZERO);
    assert!(platform.overlapping_tasks().is_empty());
    let (after_done, earlier) = platform.repeated_tasks();
    println!("runs followed by another: {earlier:?}");
    assert!(
        after_done.is_empty(),
        "started after it was done: {after_done:?}"
    );
}

/// Answers that take as long as a retransmission or two, as over a link that loses packets.
#[test]
fn slow_answers_of_workers_fail_no_job() {
    let platform = platform();
    let edge = Edge::start(&platform, "e1");
    edge.submit_until_accepted("/a/00000000000000a0", &job(1, 1, 50));
    platform.set_late_answers(4, Duration::from_millis(420));
    let paths: Vec<String> = (1..8).map(|n| format!("/a/{n:016x}")).collect();
    for path in &paths {
        edge.submit_until_accepted(path, &job(2, 3, 150));
    }
    for path in &paths {
        wait_until("the job is done", || edge.state(path) == "done");
    }
    assert!(platform.overlapping_tasks().is_empty());
}

/// A paused owner was told to stop when it woke, and marked its shard as released over its
/// successor's row. The next owner got the successor's term again, and both started runs with the
/// same numbers (kwp-skips hunt-2f15-31: BUDGET).
#[test]
fn owner_that_stops_after_it_was_replaced_leaves_its_successors_row() {
    let platform = platform();
    let edges = start_with_owners(&platform, 8);
    let (mut owners, others): (Vec<Edge>, Vec<Edge>) = edges.into_iter().partition(Edge::is_owner);
    owners.iter().for_each(|edge| edge.signal("STOP"));
    wait_until("all shards have new owners", || {
        others.iter().map(Edge::owned_shards).sum::<usize>() == 3
    });
    for edge in &mut owners {
        edge.terminate();
        edge.signal("CONT");
        edge.wait();
    }
    others[0].submit_until_accepted("/a/00000000000000a1", &job(1, 2, 50));
    others[0].submit_until_accepted("/b/00000000000000b1", &job(1, 2, 50));
    for path in ["/a/00000000000000a1", "/b/00000000000000b1"] {
        wait_until("the job is done", || others[0].state(path) == "done");
    }
    let replaced = |edge: &&Edge| edge.has_logged("event=owner-deposed");
    assert_eq!(
        others.iter().filter(replaced).count(),
        0,
        "a new owner was replaced"
    );
}

/// A question about an earlier process of a node replaced the link to the present one. Its watcher
/// heard nothing more of it, kept its last status and took over its shards again and again
/// (nyp-lahore holders-in-turn --seed 774374534921: LOST).
#[test]
fn question_about_an_earlier_process_keeps_the_link_to_the_present_one() {
    let platform = platform();
    let edges = start_with_owners(&platform, 4);
    let runtime = runtime();
    for edge in &edges {
        for name in names(4) {
            let question = probe(&name, &edges[0].peers);
            let answer = runtime.block_on(ask(&edge.peers, &question));
            assert!(!answer.is_empty());
        }
    }
    for edge in &edges {
        assert!(!edge.has_logged("event=peer-down"), "a link was closed");
    }
}

/// Returns the frame that asks whether a process of the node `name` can be reached at `address`.
fn probe(name: &str, address: &str) -> Vec<u8> {
    let port = address.rsplit(':').next().expect("a port");
    let port: u16 = port.parse().expect("a port number");
    // The binary form of a socket address.
    let address = json!({ "V4": [[127, 0, 0, 1], port] });
    let endpoint = json!({ "node": name, "process": format!("{name}/1"), "address": address });
    let operation = json!({ "Inquire": { "Probe": endpoint } });
    let frame = json!({ "version": 1, "body": { "Ask": [7, operation] } });
    let mut bytes = Vec::new();
    ciborium::into_writer(&frame, &mut bytes).expect("a frame can be encoded");
    bytes
}

/// Sends a request over a link and returns the first answer.
async fn ask(address: &str, request: &[u8]) -> Vec<u8> {
    let url = format!("ws://{address}/");
    let (mut socket, _) = tokio_tungstenite::connect_async(url)
        .await
        .expect("a link is accepted");
    let sent = socket.send(Message::binary(request.to_vec())).await;
    sent.expect("the request is sent");
    let answer = socket.next().await.expect("an answer");
    answer.expect("an intact answer").into_data().to_vec()
}

/// Malformed, truncated, oversized and unknown messages on the peers' port end no process, and the
/// next good message is served.
#[test]
fn malformed_messages_of_peers_end_no_process() {
    let platform = platform();
    let edges = ["e1", "e2"].map(|name| Edge::start(&platform, name));
    edges[0].submit_until_accepted("/a/00000000000000a0", &job(1, 1, 50));
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let runtime = runtime();
    for edge in &edges {
        for length in [0, 1, 17, 400, 70_000] {
            let bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
            let mut stream = std::net::TcpStream::connect(&edge.peers).expect("a connection");
            // The process may close the connection before all is written.
            let _ = stream.write_all(&bytes);
            runtime.block_on(send_frames(&edge.peers, &bytes));
        }
    }
    for (number, edge) in edges.iter().enumerate() {
        let path = format!("/a/{:016x}", number + 1);
        edge.submit_until_accepted(&path, &job(1, 1, 50));
        wait_until("the job is done", || edge.state(&path) == "done");
    }
}

/// Sends `bytes` as a text and a binary message over a link.
async fn send_frames(address: &str, bytes: &[u8]) {
    for message in [
        Message::binary(bytes.to_vec()),
        Message::text("not a frame"),
        Message::binary(bytes.to_vec()),
    ] {
        let url = format!("ws://{address}/");
        let (mut socket, _) = tokio_tungstenite::connect_async(url)
            .await
            .expect("a link is accepted");
        // The process may close the connection at once.
        let _ = socket.send(message).await;
    }
}

/// Processes of earlier versions name no account in their requests, and none is named in a deployment
/// without accounts.
#[test]
fn request_about_job_without_an_account_is_answered() {
    let platform = platform();
    let edge = Edge::start(&platform, "e1");
    edge.submit_until_accepted("/a/00000000000000a0", &job(1, 1, 50));
    let operation = json!({ "Phase": { "part": "alpha", "id": "00000000000000a0" } });
    let frame = json!({ "version": 1, "body": { "Ask": [7, operation] } });
    let mut bytes = Vec::new();
    ciborium::into_writer(&frame, &mut bytes).expect("a frame can be encoded");
    let answer = runtime().block_on(ask(&edge.peers, &bytes));
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.contains("Phase"), "{answer}");
}
