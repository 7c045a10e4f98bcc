use super::reject::Reject;
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING, UPGRADE};
use hyper::{HeaderMap, Method, StatusCode};
use hyssop_config::fleet::Pool;
use hyssop_config::settings::Limits;
use hyssop_model::prelude::*;

/// Is a caller's request for a pool, read from its head.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Call {
    pub(crate) pool: String,
    pub(crate) queue: String,
    pub(crate) class: Class,
    /// How long the caller waits, from arrival.
    pub(crate) patience: Duration,
    pub(crate) is_idempotent: bool,
    /// The caller's key of a non-idempotent request.
    pub(crate) claim_key: Option<String>,
    pub(crate) is_retried_upstream: bool,
    pub(crate) method: Method,
    /// The path and query for the backend server.
    pub(crate) path: String,
    /// The headers for the backend server.
    pub(crate) headers: HeaderMap,
}

pub(crate) const QUEUE_HEADER: &str = "hyssop-queue";
pub(crate) const CLASS_HEADER: &str = "hyssop-class";
pub(crate) const DEADLINE_HEADER: &str = "hyssop-deadline-ms";
pub(crate) const IDEMPOTENT_HEADER: &str = "hyssop-idempotent";
pub(crate) const KEY_HEADER: &str = "idempotency-key";
pub(crate) const ATTEMPT_HEADER: &str = "hyssop-attempt";

/// The prefix of the paths that go to a pool.
pub(crate) const POOLS_PREFIX: &str = "/v1/pools/";

/// The longest key of a request, in bytes.
const LONGEST_KEY: usize = 128;

impl Call {
    /// Reads the head of a request whose path starts with [`POOLS_PREFIX`].
    ///
    /// # Errors
    ///
    /// Fails with what the caller is told when a part can't be used.
    pub(crate) fn read(
        method: &Method,
        uri: &hyper::Uri,
        headers: &HeaderMap,
        limits: &Limits,
    ) -> Result<Self, Reject> {
        let (pool, path) = split_path(uri)?;
        let patience = read_patience(headers, limits)?;
        let claim_key = read_key(headers)?;
        Ok(Self {
            pool,
            queue: text(headers, QUEUE_HEADER)?
                .unwrap_or(Pool::DEFAULT_QUEUE)
                .to_owned(),
            class: read_class(headers)?,
            patience,
            is_idempotent: read_idempotent(method, headers)?,
            claim_key,
            is_retried_upstream: read_attempt(headers)? > 1,
            method: method.clone(),
            path,
            headers: forwarded(headers),
        })
    }

    /// Returns the key of a request that must run at most once over all its repeats.
    pub(crate) fn key_to_claim(&self) -> Option<&str> {
        if self.is_idempotent {
            return None;
        }
        self.claim_key.as_deref()
    }
}

fn split_path(uri: &hyper::Uri) -> Result<(String, String), Reject> {
    let path_and_query = uri.path_and_query().map_or("/", |whole| whole.as_str());
    let rest = path_and_query.strip_prefix(POOLS_PREFIX).unwrap_or("");
    let Some((pool, path)) = rest.split_once('/') else {
        let message = "the path names no pool; call /v1/pools/POOL/PATH";
        return Err(Reject::new(StatusCode::NOT_FOUND, message));
    };
    Ok((pool.to_owned(), format!("/{path}")))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Reject> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    if headers.get_all(name).iter().count() > 1 {
        return Err(Reject::header(name, "send it once"));
    }
    let value = value
        .to_str()
        .map_err(|_| Reject::header(name, "send visible ASCII characters"))?;
    Ok(Some(value))
}

fn read_class(headers: &HeaderMap) -> Result<Class, Reject> {
    match text(headers, CLASS_HEADER)? {
        None => Ok(Class::default()),
        Some(value) => value
            .parse()
            .map_err(|_| Reject::header(CLASS_HEADER, "send urgent, normal or deferrable")),
    }
}

fn read_patience(headers: &HeaderMap, limits: &Limits) -> Result<Duration, Reject> {
    let Some(value) = text(headers, DEADLINE_HEADER)? else {
        return Ok(limits.deadline);
    };
    let longest_ms = limits.longest_deadline.as_millis() as u64;
    let remedy = format!("send whole milliseconds from 1 to {longest_ms}");
    match value.parse::<u64>() {
        Ok(ms) if (1..=longest_ms).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => Err(Reject::header(DEADLINE_HEADER, &remedy)),
    }
}

fn read_idempotent(method: &Method, headers: &HeaderMap) -> Result<bool, Reject> {
    match text(headers, IDEMPOTENT_HEADER)? {
        None => Ok(method.is_idempotent()),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(Reject::header(IDEMPOTENT_HEADER, "send true or false")),
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, Reject> {
    let Some(value) = text(headers, KEY_HEADER)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > LONGEST_KEY {
        let remedy = "send a key of POST /v1/keys or a UUIDv7";
        return Err(Reject::header(KEY_HEADER, remedy));
    }
    Ok(Some(value.to_owned()))
}

fn read_attempt(headers: &HeaderMap) -> Result<u32, Reject> {
    match text(headers, ATTEMPT_HEADER)? {
        None => Ok(1),
        Some(value) => value
            .parse()
            .map_err(|_| Reject::header(ATTEMPT_HEADER, "send a whole number")),
    }
}

/// Returns the headers without those of this connection only.
fn forwarded(headers: &HeaderMap) -> HeaderMap {
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
