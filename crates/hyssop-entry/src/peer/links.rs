use super::dialer;
use crate::core::Inbox;
use crate::metric::Metrics;
use hyssop_event::Recorder;
use hyssop_model::entry::{Id, Member};
use hyssop_wire::{Body, Frame};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The sending end of a link to one peer.
struct Link {
    frames: flume::Sender<Vec<u8>>,
    is_member: Arc<AtomicBool>,
}

/// The links to all peers.
///
/// A frame that cannot be queued immediately is dropped and counted, like a frame lost on the
/// network.
pub(crate) struct Links {
    own_member: Member,
    runtime: tokio::runtime::Handle,
    recorder: Recorder,
    metrics: Arc<Metrics>,
    links: Mutex<BTreeMap<Id, Link>>,
}

/// Maximum number of frames queued for one link.
const LINK_QUEUE_CAPACITY: usize = 4096;

impl Links {
    pub(crate) fn new(
        own_member: Member,
        runtime: tokio::runtime::Handle,
        recorder: Recorder,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            own_member,
            runtime,
            recorder,
            metrics,
            links: Mutex::default(),
        }
    }

    /// Queues a frame with `body` for a peer.
    pub(crate) fn send(&self, to: Id, body: Body) {
        let bytes = Frame::new(self.recorder.stamp(), body).encode();
        let byte_count = bytes.len() as u64;
        let links = self.lock();
        let is_queued = links
            .get(&to)
            .is_some_and(|link| link.frames.try_send(bytes).is_ok());
        if is_queued {
            self.metrics.control_frames.inc();
            self.metrics.control_bytes.inc_by(byte_count);
        } else {
            self.metrics.dropped_frames.inc();
        }
    }

    /// Opens links to new members; links to former members close when their connection ends.
    pub(crate) fn set_members(&self, members: &[Member], inbox: &Inbox) {
        let mut links = self.lock();
        for (id, link) in links.iter() {
            let is_member = members.iter().any(|member| member.id == *id);
            link.is_member.store(is_member, Ordering::SeqCst);
        }
        links.retain(|_, link| !link.frames.is_disconnected());
        for member in members {
            if member.id != self.own_member.id && !links.contains_key(&member.id) {
                links.insert(member.id, self.open(member, inbox));
            }
        }
    }

    fn open(&self, member: &Member, inbox: &Inbox) -> Link {
        let (sender, frames) = flume::bounded(LINK_QUEUE_CAPACITY);
        let is_member = Arc::new(AtomicBool::new(true));
        let dialer = dialer::Dialer {
            own_member: self.own_member.clone(),
            peer: member.clone(),
            frames,
            is_member: is_member.clone(),
            recorder: self.recorder.clone(),
            inbox: inbox.clone(),
        };
        self.runtime.spawn(dialer.run());
        Link {
            frames: sender,
            is_member,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Id, Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
