use super::{Hold, Permit};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyssop_model::work::Submission;
use hyssop_policy::intake::{decoded_bytes, Reason, BODY_TIMEOUT};
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

/// The permit for the first part of a body whose length is not known in advance; it doubles as the body
/// grows.
const FIRST_BYTES: usize = 4 * 1_024;
/// The frames of a body that need no turn: a body of the default limit comes in 32 buffers of 8 KiB.
const FREE_FRAMES: u32 = 64;
/// The frames for which a body takes one turn.
const FRAMES_PER_TURN: u32 = 64;
/// The shortest time for a body, if the caller's deadline is earlier: its last packets may be on their
/// way.
const MIN_TIME: Duration = Duration::from_secs(1);

/// The body of a request that has not been read.
pub(crate) struct Inbound {
    incoming: Incoming,
    permit: Rc<Permit>,
}

/// A body that was read, with the permit for its bytes.
pub(crate) struct Body {
    bytes: Vec<u8>,
    hold: Hold,
}

impl Inbound {
    pub(crate) fn new(incoming: Incoming, permit: Rc<Permit>) -> Self {
        Self { incoming, permit }
    }

    /// Reads the body, of at most `limit` bytes, until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal; the request has not run then.
    pub(crate) async fn read(&mut self, limit: usize, deadline: Duration) -> Result<Body, Reason> {
        let permit = self.permit.clone();
        let guard = permit.guard().clone();
        let time = deadline.saturating_sub(guard.now());
        let time = time.clamp(MIN_TIME, BODY_TIMEOUT);
        let read = tokio::time::timeout(time, self.collect(limit)).await;
        let body = read.unwrap_or(Err(Reason::BodyTimeout));
        match &body {
            Ok(_) => permit.serve(),
            // Counted where the permit was refused.
            Err(Reason::NoBytes) => {}
            Err(reason) => guard.count(*reason),
        }
        body
    }

    /// Reads and drops up to `limit` bytes of the body in up to [`FREE_FRAMES`] frames, which takes
    /// neither a permit nor a turn.
    pub(crate) async fn discard(mut self, limit: usize) {
        let mut left = limit;
        for _ in 0..FREE_FRAMES {
            let Some(Ok(frame)) = self.incoming.frame().await else {
                return;
            };
            let Some(rest) = left.checked_sub(frame.data_ref().map_or(0, bytes::Bytes::len)) else {
                return;
            };
            left = rest;
        }
    }

    async fn collect(&mut self, limit: usize) -> Result<Body, Reason> {
        let declared = self.incoming.size_hint().exact();
        let declared = declared.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if declared.is_some_and(|bytes| bytes > limit) {
            return Err(Reason::BodyTooLarge);
        }
        let hold = self.permit.hold(declared.unwrap_or(0))?;
        let mut body = Body {
            bytes: Vec::with_capacity(declared.unwrap_or(0)),
            hold,
        };
        let mut frames = 0;
        while let Some(frame) = self.incoming.frame().await {
            let Ok(data) = frame.map_err(|_| Reason::BodyBroken)?.into_data() else {
                continue;
            };
            if data.len() > limit - body.bytes.len() {
                return Err(Reason::BodyTooLarge);
            }
            body.append(&data, limit)?;
            frames += 1;
            if frames > FREE_FRAMES && frames % FRAMES_PER_TURN == 0 {
                self.permit.turn(FRAMES_PER_TURN).await;
            }
        }
        body.bytes.shrink_to_fit();
        body.hold.shrink(body.bytes.capacity());
        Ok(body)
    }
}

impl Body {
    /// Copies `data`, so that small chunks don't keep the buffers that they arrived in.
    fn append(&mut self, data: &[u8], limit: usize) -> Result<(), Reason> {
        let length = self.bytes.len() + data.len();
        if length > self.hold.bytes() {
            let wanted = length
                .next_power_of_two()
                .max(FIRST_BYTES)
                .min(limit.max(length));
            self.hold.extend(wanted - self.hold.bytes())?;
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Takes a permit for the job that was decoded from this body.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal if too few bytes are left.
    pub(crate) fn hold_decoded(&mut self, submission: &Submission) -> Result<(), Reason> {
        self.hold.extend(decoded_bytes(submission))
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
