use super::call::Call;
use super::reject::Reject;
use super::response::{self, Reply};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::StatusCode;
use hyssop_model::outcome::Outcome;
use hyssop_wire::claim::{Answer, End, Verdict};
use sha2::{Digest, Sha256};
use std::time::Duration;

/// When a repeat has better chances after a home could not decide.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns a hash of a request, so that a key is not used for another one.
pub(super) fn fingerprint(call: &Call, body: &Bytes) -> u64 {
    let mut hash = Sha256::new();
    for part in [call.method.as_str(), &call.pool, &call.path] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(body);
    let digest = hash.finalize();
    let first: [u8; 8] = std::array::from_fn(|index| digest[index]);
    u64::from_le_bytes(first)
}

/// Returns what the caller is told when its request is not sent, or `None` when it is granted.
pub(super) fn refusal(id: &str, verdict: &Verdict) -> Option<Reply> {
    match verdict {
        Verdict::Granted => None,
        Verdict::InProgress => {
            let reply =
                response::text(StatusCode::CONFLICT, "a request with this key is running\n");
            Some(response::with_outcome(reply, id, Outcome::InProgress))
        }
        Verdict::Repeated(answer) => Some(repeated(id, answer)),
        Verdict::Unknown => Some(response::unknown(id, StatusCode::GATEWAY_TIMEOUT, None)),
        Verdict::NotNow => Some(response::not_run(id, "key-home-unavailable", RETRY_AFTER)),
        Verdict::Mismatch => Some(refused(
            id,
            "the key was used for another request; take a new one",
        )),
        Verdict::Malformed => Some(refused(
            id,
            "the key is no key; take one of POST /v1/keys or a UUIDv7",
        )),
        Verdict::Ahead(wall_ms) => {
            let message = format!(
                "the key was minted ahead of time; it is {wall_ms} ms since 1970, set your clock"
            );
            Some(refused(id, &message))
        }
    }
}

fn refused(id: &str, message: &str) -> Reply {
    response::rejected(id, &Reject::new(StatusCode::BAD_REQUEST, message))
}

fn repeated(id: &str, answer: &Answer) -> Reply {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut reply = response::text(status, answer.body.clone());
    let media_type = answer
        .media_type
        .as_deref()
        .and_then(|text| HeaderValue::from_str(text).ok());
    match media_type {
        Some(media_type) => reply.headers_mut().insert(CONTENT_TYPE, media_type),
        None => reply.headers_mut().remove(CONTENT_TYPE),
    };
    response::set(&mut reply, response::INSTANCE_HEADER, &answer.instance);
    response::with_outcome(reply, id, Outcome::Repeated)
}

/// Returns how a granted request ended, from what its caller is told.
pub(super) async fn end(reply: &mut Reply) -> End {
    match response::outcome(reply).parse() {
        Ok(Outcome::Answered) => End::Answered(kept(reply).await),
        Ok(Outcome::NotRun | Outcome::Refused) => End::NotRun,
        _ => End::Unknown,
    }
}

/// Copies an answer for repeats of its request.
async fn kept(reply: &mut Reply) -> Answer {
    let text = |name: &str| {
        let value = reply
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let media_type = text("content-type");
    let instance = text(response::INSTANCE_HEADER).unwrap_or_default();
    let status = reply.status().as_u16();
    let body = match reply.body_mut().collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(never) => match never {},
    };
    *reply.body_mut() = http_body_util::Full::new(body.clone());
    Answer {
        status,
        media_type,
        instance,
        body: body.to_vec(),
    }
}
