use super::call::Call;
use super::rejection::Rejection;
use super::response::{self, Reply};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::StatusCode;
use hyssop_model::outcome::Outcome;
use hyssop_wire::claim::{Answer, End, Verdict};
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Delay after which a caller may retry when the key's home could not decide.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns a hash of a request, by which the reuse of its key for a different request is detected.
pub(super) fn fingerprint(call: &Call, body: &Bytes) -> u64 {
    let mut hash = Sha256::new();
    for component in [call.method.as_str(), &call.pool, &call.path] {
        hash.update((component.len() as u64).to_le_bytes());
        hash.update(component);
    }
    hash.update(body);
    let digest = hash.finalize();
    let prefix: [u8; 8] = std::array::from_fn(|index| digest[index]);
    u64::from_le_bytes(prefix)
}

/// Returns the response to a request that must not be sent, or `None` when it is granted.
pub(super) fn refusal(id: &str, verdict: &Verdict) -> Option<Reply> {
    match verdict {
        Verdict::Granted => None,
        Verdict::InProgress => {
            let reply = response::text(
                StatusCode::CONFLICT,
                "a request with this key is already running\n",
            );
            Some(response::with_outcome(reply, id, Outcome::InProgress))
        }
        Verdict::Repeated(answer) => Some(repeated(id, answer)),
        Verdict::Unknown => Some(response::unknown(id, StatusCode::GATEWAY_TIMEOUT, None)),
        Verdict::NotNow => Some(response::not_run(id, "key-home-unavailable", RETRY_AFTER)),
        Verdict::Mismatch => Some(bad_request(
            id,
            "the key was used for a different request; use a new key",
        )),
        Verdict::Malformed => Some(bad_request(
            id,
            "the key is malformed; use a key from POST /v1/keys or a UUIDv7",
        )),
        Verdict::Ahead(wall_ms) => {
            let message = format!(
                "the key is dated in the future; it is now {wall_ms} ms since 1970, set your clock"
            );
            Some(bad_request(id, &message))
        }
    }
}

fn bad_request(id: &str, message: &str) -> Reply {
    response::rejected(id, &Rejection::new(StatusCode::BAD_REQUEST, message))
}

fn repeated(id: &str, answer: &Answer) -> Reply {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut reply = response::text(status, answer.body.clone());
    let media_type = answer
        .media_type
        .as_deref()
        .and_then(|value| HeaderValue::from_str(value).ok());
    match media_type {
        Some(media_type) => reply.headers_mut().insert(CONTENT_TYPE, media_type),
        None => reply.headers_mut().remove(CONTENT_TYPE),
    };
    response::set_header(&mut reply, response::INSTANCE_HEADER, &answer.instance);
    response::with_outcome(reply, id, Outcome::Repeated)
}

/// Returns the result of a granted request for its claim, from the response to its caller.
pub(super) async fn claim_end(reply: &mut Reply) -> End {
    match response::outcome(reply).parse() {
        Ok(Outcome::Answered) => End::Answered(copy_response(reply).await),
        Ok(Outcome::NotRun | Outcome::Refused) => End::NotRun,
        _ => End::Unknown,
    }
}

/// Copies a response, so that retries of its request can be answered with it.
async fn copy_response(reply: &mut Reply) -> Answer {
    let header_text = |name: &str| {
        let value = reply
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let media_type = header_text("content-type");
    let instance = header_text(response::INSTANCE_HEADER).unwrap_or_default();
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
