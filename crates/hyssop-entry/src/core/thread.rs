use super::host::Host;
use super::{Fleet, Inbox, Message};
use crate::backend;
use crate::metric::Metrics;
use crate::peer::Links;
use crate::state::State;
use hyssop_config::fleet;
use hyssop_event::Recorder;
use hyssop_model::prelude::*;
use hyssop_policy::claim;
use hyssop_policy::dispatch::{Dispatcher, Event};
use hyssop_wire::{notice, Body};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Is what the core works with.
pub(crate) struct Parts {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) state: Arc<State>,
    pub(crate) links: Arc<Links>,
    pub(crate) backends: Arc<backend::Pool>,
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) claims: claim::Coordinator,
    pub(crate) nudge: flume::Sender<()>,
}

const TICK: Duration = Duration::from_millis(20);

/// Starts the core's thread.
///
/// # Errors
///
/// Fails when the operating system gives no thread.
pub(crate) fn spawn(
    parts: Parts,
    inbox: Inbox,
    messages: flume::Receiver<Message>,
) -> std::io::Result<JoinHandle<()>> {
    let clock = parts.clock.clone();
    let host = Host {
        state: parts.state,
        links: parts.links,
        backends: parts.backends,
        recorder: parts.recorder,
        metrics: parts.metrics,
        inbox,
        dispatcher: parts.dispatcher,
        claims: parts.claims,
        claiming: BTreeMap::new(),
        nudge: parts.nudge,
        authority: None,
        handed_over: None,
        clock: parts.clock,
        waiting: BTreeMap::new(),
        instances: BTreeMap::new(),
        epoch: epoch::Record::default(),
        actions: Vec::new(),
    };
    std::thread::Builder::new()
        .name("core".to_owned())
        .spawn(move || run(host, clock.as_ref(), &messages))
}

fn run(mut host: Host, clock: &dyn Clock, messages: &flume::Receiver<Message>) {
    let mut next_tick = clock.now() + TICK;
    loop {
        match messages.recv_deadline(next_tick) {
            Ok(Message::Stop) | Err(flume::RecvTimeoutError::Disconnected) => return,
            Ok(message) => handle(&mut host, clock.now(), message),
            Err(flume::RecvTimeoutError::Timeout) => {}
        }
        let now = clock.now();
        if now >= next_tick {
            host.step(now, Event::Tick);
            host.step_claims(now, claim::Event::Tick);
            next_tick = now + TICK;
        }
    }
}

fn handle(host: &mut Host, now: Instant, message: Message) {
    match message {
        Message::Arrive(arrival, reply) => {
            host.waiting.insert(arrival.key, reply);
            host.step(now, Event::Arrival(arrival));
        }
        Message::End { key, end } => {
            host.step(now, Event::AttemptEnd { key, end });
            if matches!(end, hyssop_policy::attempt::End::Answered { .. }) {
                host.waiting.remove(&key);
            }
        }
        Message::Cancel(key) => {
            host.step(now, Event::Cancel(key));
            if !host.dispatcher.contains(key) {
                host.waiting.remove(&key);
            }
        }
        Message::Probe { instance, sample } => host.step(now, Event::Probe { instance, sample }),
        Message::ListProbes(reply) => {
            // The prober is gone only when the process stops.
            let _ = reply.send(host.probe_targets());
        }
        Message::Frame { from, body } => hear(host, now, from, body),
        Message::PeerUp(peer) => host.step(now, Event::PeerUp(peer)),
        Message::Epoch(epoch) => host.adopt(now, epoch, true),
        Message::Instances(records) => host.insert_instances(now, records, true),
        Message::Fleet(fleet) => host.configure(now, fleet, true),
        Message::Proposed { number, text } => host.pass_on_proposal(number, text),
        Message::Claim {
            request,
            key,
            fingerprint,
            reply,
        } => {
            host.claiming.insert(request, reply);
            let event = claim::Event::Claim {
                request,
                key,
                fingerprint,
            };
            host.step_claims(now, event);
        }
        Message::Settle { request, end } => {
            host.step_claims(now, claim::Event::Settle { request, end })
        }
        Message::Mint(reply) => {
            let key = host.claims.mint(host.clock.wall_ms());
            // The caller may have stopped waiting.
            let _ = reply.send(key.map(|key| key.to_string()));
        }
        Message::Lease(ends) => host.step_claims(now, claim::Event::Lease(ends)),
        Message::HandOver(reply) => {
            host.handed_over = Some(reply);
            host.step_claims(now, claim::Event::HandOver);
        }
        Message::Report(reply) => {
            // Whoever asked may have stopped waiting.
            let _ = reply.send(host.snapshot(now));
        }
        Message::Close => host.step(now, Event::Close),
        Message::Leave => host.step(now, Event::Leave),
        Message::Stop => {}
    }
}

fn hear(host: &mut Host, now: Instant, from: entry::Id, body: Body) {
    match body {
        Body::Epoch(epoch) => host.adopt(now, epoch, false),
        Body::Instances(records) => host.insert_instances(now, records, false),
        Body::Config(config) => hear_config(host, now, config),
        Body::Status(_) => {
            host.step_claims(
                now,
                claim::Event::Frame {
                    from,
                    body: body.clone(),
                },
            );
            host.step(now, Event::Frame { from, body });
        }
        Body::ClaimRequest(_)
        | Body::ClaimReply(_)
        | Body::Settlement(_)
        | Body::SettlementAck(_)
        | Body::Handover(_)
        | Body::HandoverAck(_)
        | Body::Promise(_) => host.step_claims(now, claim::Event::Frame { from, body }),
        body => host.step(now, Event::Frame { from, body }),
    }
}

fn hear_config(host: &mut Host, now: Instant, config: notice::Config) {
    let Some(text) = config.body else {
        return;
    };
    match fleet::Fleet::parse("peer", &text) {
        Ok(_) if config.held > config.accepted => host.hold(config.held, text),
        Ok(parsed) => {
            let fleet = Fleet {
                number: config.accepted,
                text,
                fleet: Arc::new(parsed),
            };
            host.configure(now, fleet, false);
        }
        Err(error) => log::error!(
            "event=config-refused version={} reason={:?}",
            config.accepted,
            error.to_string()
        ),
    }
}
