use super::rejection::Rejection;
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING, UPGRADE};
use hyper::{HeaderMap, Method, StatusCode};
use hyssop_config::fleet::Pool;
use hyssop_config::settings::Limits;
use hyssop_model::prelude::*;

/// A caller's request to a pool, parsed from the request head.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Call {
    pub(crate) pool: String,
    pub(crate) queue: String,
    pub(crate) class: Class,
    /// The time limit of the request, counted from its arrival.
    pub(crate) caller_timeout: Duration,
    pub(crate) is_idempotent: bool,
    /// The idempotency key that the caller sent.
    pub(crate) claim_key: Option<String>,
    /// Whether the request is a retry, according to its attempt header.
    pub(crate) is_retried_upstream: bool,
    pub(crate) method: Method,
    /// The path and query sent to the backend server.
    pub(crate) path: String,
    /// The headers sent to the backend server.
    pub(crate) headers: HeaderMap,
}

pub(crate) const QUEUE_HEADER: &str = "hyssop-queue";
pub(crate) const CLASS_HEADER: &str = "hyssop-class";
pub(crate) const DEADLINE_HEADER: &str = "hyssop-deadline-ms";
pub(crate) const IDEMPOTENT_HEADER: &str = "hyssop-idempotent";
pub(crate) const KEY_HEADER: &str = "idempotency-key";
pub(crate) const ATTEMPT_HEADER: &str = "hyssop-attempt";

/// Path prefix of the requests to pools.
pub(crate) const POOLS_PREFIX: &str = "/v1/pools/";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

impl Call {
    /// Parses the head of a request whose path starts with [`POOLS_PREFIX`].
    ///
    /// # Errors
    ///
    /// Fails with the response to the caller when the path or a header is invalid.
    pub(crate) fn parse(
        method: &Method,
        uri: &hyper::Uri,
        headers: &HeaderMap,
        limits: &Limits,
    ) -> Result<Self, Rejection> {
        let (pool, path) = split_path(uri)?;
        let caller_timeout = parse_caller_timeout(headers, limits)?;
        let claim_key = parse_key(headers)?;
        Ok(Self {
            pool,
            queue: header_text(headers, QUEUE_HEADER)?
                .unwrap_or(Pool::DEFAULT_QUEUE)
                .to_owned(),
            class: parse_class(headers)?,
            caller_timeout,
            is_idempotent: parse_idempotent(method, headers)?,
            claim_key,
            is_retried_upstream: parse_attempt(headers)? > 1,
            method: method.clone(),
            path,
            headers: forwarded_headers(headers),
        })
    }

    /// Returns the key of a request that must run at most once, including its retries.
    pub(crate) fn key_to_claim(&self) -> Option<&str> {
        if self.is_idempotent {
            return None;
        }
        self.claim_key.as_deref()
    }
}

fn split_path(uri: &hyper::Uri) -> Result<(String, String), Rejection> {
    let path_and_query = uri.path_and_query().map_or("/", |target| target.as_str());
    let rest = path_and_query.strip_prefix(POOLS_PREFIX).unwrap_or("");
    let Some((pool, path)) = rest.split_once('/') else {
        let message = "the path contains no pool; use /v1/pools/POOL/PATH";
        return Err(Rejection::new(StatusCode::NOT_FOUND, message));
    };
    Ok((pool.to_owned(), format!("/{path}")))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Rejection> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    if headers.get_all(name).iter().count() > 1 {
        return Err(Rejection::header(name, "send it once"));
    }
    let value = value
        .to_str()
        .map_err(|_| Rejection::header(name, "send visible ASCII characters"))?;
    Ok(Some(value))
}

fn parse_class(headers: &HeaderMap) -> Result<Class, Rejection> {
    match header_text(headers, CLASS_HEADER)? {
        None => Ok(Class::default()),
        Some(value) => value
            .parse()
            .map_err(|_| Rejection::header(CLASS_HEADER, "send urgent, normal or deferrable")),
    }
}

fn parse_caller_timeout(headers: &HeaderMap, limits: &Limits) -> Result<Duration, Rejection> {
    let Some(value) = header_text(headers, DEADLINE_HEADER)? else {
        return Ok(limits.deadline);
    };
    let max_ms = limits.longest_deadline.as_millis() as u64;
    let remedy = format!("send whole milliseconds from 1 to {max_ms}");
    match value.parse::<u64>() {
        Ok(ms) if (1..=max_ms).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => Err(Rejection::header(DEADLINE_HEADER, &remedy)),
    }
}

fn parse_idempotent(method: &Method, headers: &HeaderMap) -> Result<bool, Rejection> {
    match header_text(headers, IDEMPOTENT_HEADER)? {
        None => Ok(method.is_idempotent()),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(Rejection::header(IDEMPOTENT_HEADER, "send true or false")),
    }
}

fn parse_key(headers: &HeaderMap) -> Result<Option<String>, Rejection> {
    let Some(value) = header_text(headers, KEY_HEADER)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        let remedy = "send a key from POST /v1/keys or a UUIDv7";
        return Err(Rejection::header(KEY_HEADER, remedy));
    }
    Ok(Some(value.to_owned()))
}

fn parse_attempt(headers: &HeaderMap) -> Result<u32, Rejection> {
    match header_text(headers, ATTEMPT_HEADER)? {
        None => Ok(1),
        Some(value) => value
            .parse()
            .map_err(|_| Rejection::header(ATTEMPT_HEADER, "send a whole number")),
    }
}

/// Returns the headers to forward: all but the hop-by-hop headers and the deadline.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in [
        CONNECTION,
        HOST,
        TRANSFER_ENCODING,
        CONTENT_LENGTH,
        EXPECT,
        UPGRADE,
    ] {
        forwarded.remove(name);
    }
    for name in [
        "keep-alive",
        "te",
        "trailer",
        "proxy-connection",
        DEADLINE_HEADER,
    ] {
        forwarded.remove(name);
    }
    forwarded
}
