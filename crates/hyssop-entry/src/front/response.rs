use super::rejection::Rejection;
use crate::backend::BufferedResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{
    HeaderValue, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::{Response, StatusCode};
use hyssop_model::outcome::Outcome;
use std::time::Duration;

/// An HTTP response to a caller.
pub(crate) type Reply = Response<Full<Bytes>>;

pub(crate) const OUTCOME_HEADER: &str = "hyssop-outcome";
pub(crate) const REQUEST_HEADER: &str = "hyssop-request";
pub(crate) const INSTANCE_HEADER: &str = "hyssop-instance";
pub(crate) const REASON_HEADER: &str = "hyssop-reason";

/// Creates a response with a body of the given media type.
pub(crate) fn with_media_type(
    status: StatusCode,
    media_type: &'static str,
    body: impl Into<Bytes>,
) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    reply
}

/// Creates a plain-text response.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    with_media_type(status, "text/plain; charset=utf-8", body)
}

/// Creates a JSON response.
pub(crate) fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => with_media_type(status, "application/json", body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates the response to an invalid request.
pub(crate) fn rejected(request: &str, rejection: &Rejection) -> Reply {
    let body = format!("{}\n", rejection.message);
    with_outcome(text(rejection.status, body), request, Outcome::Refused)
}

/// Converts the response of a backend server into the response to the caller.
pub(crate) fn answered(request: &str, instance: &str, response: BufferedResponse) -> Reply {
    let mut reply = Response::new(Full::new(response.body));
    *reply.status_mut() = response.status;
    *reply.headers_mut() = response.headers;
    let headers = reply.headers_mut();
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONTENT_LENGTH);
    headers.remove("keep-alive");
    set_header(&mut reply, INSTANCE_HEADER, instance);
    with_outcome(reply, request, Outcome::Answered)
}

/// Creates the response to a request that did not run.
pub(crate) fn not_run(request: &str, reason: &str, retry_after: Duration) -> Reply {
    let body = format!("the request did not run: {reason}; retry after the time in Retry-After\n");
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, body);
    let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
    reply
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    set_header(&mut reply, REASON_HEADER, reason);
    with_outcome(reply, request, Outcome::NotRun)
}

/// Creates the response to a request that may have run.
pub(crate) fn unknown(request: &str, status: StatusCode, instance: Option<&str>) -> Reply {
    let body = "the request was sent, but whether it ran is unknown; check before you retry it\n";
    let mut reply = text(status, body);
    if let Some(instance) = instance {
        set_header(&mut reply, INSTANCE_HEADER, instance);
    }
    with_outcome(reply, request, Outcome::Unknown)
}

/// Sets the headers that every response to a request to a pool has.
pub(crate) fn with_outcome(mut reply: Reply, request: &str, outcome: Outcome) -> Reply {
    set_header(&mut reply, REQUEST_HEADER, request);
    set_header(&mut reply, OUTCOME_HEADER, outcome.into());
    reply
}

/// Sets a header; a value with other than visible ASCII characters is ignored.
pub(crate) fn set_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(name, value);
    }
}

/// Returns the outcome header of a response.
pub(crate) fn outcome(reply: &Reply) -> &str {
    let value = reply.headers().get(OUTCOME_HEADER);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
}

/// Returns the reason header of a response, that is, why its request did not run.
pub(crate) fn reason(reply: &Reply) -> &str {
    let value = reply.headers().get(REASON_HEADER);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
}
