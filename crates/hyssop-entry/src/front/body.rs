use super::rejection::Rejection;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::StatusCode;
use hyssop_config::settings::Limits;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The unit of the permits for bytes.
const UNIT_BYTES: usize = 1_024;
/// The part of the memory for the first bytes of each body is one in this many, so that large bodies never
/// keep ordinary ones from being read.
const FIRST_PART: u64 = 4;
/// The first bytes of a body.
const FIRST_BYTES: usize = 16 * 1_024;

/// The memory for the bodies of all requests that are read or served.
pub(crate) struct Memory {
    /// For the first [`FIRST_BYTES`] of each body.
    first: Arc<Semaphore>,
    /// For the rest.
    rest: Arc<Semaphore>,
}

/// A request body, with the permits for its bytes.
pub(super) struct Body {
    pub(super) bytes: Bytes,
    _permits: Vec<OwnedSemaphorePermit>,
}

/// Why a body was not read.
pub(super) enum Unread {
    /// The request is invalid.
    Rejected(Rejection),
    /// The bodies of other requests take all of the memory.
    NoMemory,
}

impl Memory {
    pub(crate) fn new(limits: &Limits) -> Self {
        let units = |bytes: u64| {
            let units = bytes / UNIT_BYTES as u64;
            Arc::new(Semaphore::new(units.min(u64::from(u32::MAX)) as usize))
        };
        let first = limits.body_memory / FIRST_PART;
        Self {
            first: units(first),
            rest: units(limits.body_memory - first),
        }
    }

    /// Reads a body, within the limits on its size and time.
    pub(super) async fn read(&self, limits: &Limits, incoming: Incoming) -> Result<Body, Unread> {
        let read = self.collect(limits.body as usize, incoming);
        match tokio::time::timeout(limits.body_timeout, read).await {
            Ok(result) => result,
            Err(_) => {
                let message = "the body was not received in time; send it faster";
                let rejection = Rejection::new(StatusCode::REQUEST_TIMEOUT, message);
                Err(Unread::Rejected(rejection))
            }
        }
    }

    async fn collect(&self, limit: usize, mut incoming: Incoming) -> Result<Body, Unread> {
        let is_too_large = |bytes: usize| bytes > limit;
        let too_large = || {
            let message = format!("the body exceeds {limit} bytes; send less");
            Unread::Rejected(Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, message))
        };
        let declared = incoming.size_hint().exact();
        if declared.is_some_and(|bytes| is_too_large(usize::try_from(bytes).unwrap_or(usize::MAX)))
        {
            return Err(too_large());
        }
        let mut bytes = Vec::new();
        let mut permits = Vec::new();
        let mut permitted = 0;
        while let Some(frame) = incoming.frame().await {
            let Ok(frame) = frame else {
                let message = "the body is incomplete; send the complete body";
                let rejection = Rejection::new(StatusCode::BAD_REQUEST, message);
                return Err(Unread::Rejected(rejection));
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if is_too_large(length) {
                return Err(too_large());
            }
            if length > permitted {
                // The permits are for whole allocations, which double.
                let wanted = length.next_power_of_two().max(UNIT_BYTES);
                permits.extend(self.permits(permitted, wanted).ok_or(Unread::NoMemory)?);
                permitted = wanted;
                bytes.reserve_exact(wanted - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        Ok(Body {
            bytes: bytes.into(),
            _permits: permits,
        })
    }

    /// Takes permits for the bytes of a body from `held` to `wanted`; returns `None` if there are too few.
    fn permits(&self, held: usize, wanted: usize) -> Option<Vec<OwnedSemaphorePermit>> {
        let first = wanted.min(FIRST_BYTES).saturating_sub(held);
        let rest = wanted.saturating_sub(held.max(FIRST_BYTES));
        let take = |semaphore: &Arc<Semaphore>, bytes: usize| {
            let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok()?;
            semaphore.clone().try_acquire_many_owned(units).ok()
        };
        Some(vec![take(&self.first, first)?, take(&self.rest, rest)?])
    }
}
