use super::host::Host;
use super::{Config, Inbox, Message};
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

/// The state machines and handles that the core thread uses.
pub(crate) struct Parts {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) state: Arc<State>,
    pub(crate) links: Arc<Links>,
    pub(crate) backends: Arc<backend::Pool>,
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) claims: claim::Coordinator,
    pub(crate) poll_trigger: flume::Sender<()>,
}

/// Interval of the tick events of the dispatcher and the claim coordinator.
const TICK: Duration = Duration::from_millis(20);

/// Starts the core thread.
///
/// # Errors
///
/// Fails when the operating system cannot create a thread.
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
        claim_replies: BTreeMap::new(),
        poll_trigger: parts.poll_trigger,
        authority: None,
        handover_reply: None,
        clock: parts.clock,
        decision_senders: BTreeMap::new(),
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
        Message::Arrival(arrival, reply) => {
            host.decision_senders.insert(arrival.key, reply);
            host.step(now, Event::Arrival(arrival));
        }
        Message::AttemptEnd { key, end } => {
            host.step(now, Event::AttemptEnd { key, end });
            if matches!(end, hyssop_policy::attempt::End::Answered { .. }) {
                host.decision_senders.remove(&key);
            }
        }
        Message::Cancel(key) => {
            host.step(now, Event::Cancel(key));
            if !host.dispatcher.contains(key) {
                host.decision_senders.remove(&key);
            }
        }
        Message::Probe { instance, sample } => host.step(now, Event::Probe { instance, sample }),
        Message::ListProbeTargets(reply) => {
            // Sending fails only during shutdown, after the prober has stopped.
            let _ = reply.send(host.probe_targets());
        }
        Message::Frame { from, body } => receive_frame(host, now, from, body),
        Message::PeerUp(peer) => host.step(now, Event::PeerUp(peer)),
        Message::Epoch(epoch) => host.apply_epoch(now, epoch, true),
        Message::Instances(records) => host.insert_instances(now, records, true),
        Message::ConfigAccepted(config) => host.apply_config(now, config, true),
        Message::ConfigProposed { number, text } => host.forward_proposal(number, text),
        Message::Claim {
            request,
            key,
            fingerprint,
            reply,
        } => {
            host.claim_replies.insert(request, reply);
            let event = claim::Event::Claim {
                request,
                key,
                fingerprint,
            };
            host.step_claims(now, event);
        }
        Message::CompleteClaim { request, end } => {
            host.step_claims(now, claim::Event::Settle { request, end })
        }
        Message::MintKey(reply) => {
            let key = host.claims.mint(host.clock.wall_ms());
            // The caller may have disconnected.
            let _ = reply.send(key.map(|key| key.to_string()));
        }
        Message::LeaseRenewed(ends) => host.step_claims(now, claim::Event::Lease(ends)),
        Message::HandOver(reply) => {
            host.handover_reply = Some(reply);
            host.step_claims(now, claim::Event::HandOver);
        }
        Message::TakeSnapshot(reply) => {
            // The requester may have stopped waiting.
            let _ = reply.send(host.snapshot(now));
        }
        Message::Close => host.step(now, Event::Close),
        Message::Leave => host.step(now, Event::Leave),
        Message::Stop => {}
    }
}

fn receive_frame(host: &mut Host, now: Instant, from: entry::Id, body: Body) {
    match body {
        Body::Epoch(epoch) => host.apply_epoch(now, epoch, false),
        Body::Instances(records) => host.insert_instances(now, records, false),
        Body::Config(config) => receive_config(host, now, config),
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

fn receive_config(host: &mut Host, now: Instant, config: notice::Config) {
    let Some(text) = config.body else {
        return;
    };
    match fleet::Fleet::parse("peer", &text) {
        Ok(_) if config.held > config.accepted => host.store_proposal(config.held, text),
        Ok(parsed) => {
            let accepted = Config {
                number: config.accepted,
                text,
                fleet: Arc::new(parsed),
            };
            host.apply_config(now, accepted, false);
        }
        Err(error) => log::error!(
            "event=config-refused version={} reason={:?}",
            config.accepted,
            error.to_string()
        ),
    }
}
