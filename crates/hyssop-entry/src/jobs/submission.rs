use crate::front::Rejection;
use hyper::{HeaderMap, StatusCode};
use hyssop_model::class::Class;
use hyssop_model::job::{Record, Size, Spec};
use serde::Deserialize;

/// The body of a job submission.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Submission {
    /// The command reference.
    command: String,
    /// The resources that the job needs.
    #[serde(flatten)]
    size: Resources,
    /// Whether the job may be started more than once.
    #[serde(default)]
    idempotent: bool,
}

/// The resource needs of a submitted job.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Resources {
    cpu_millis: u64,
    memory_mib: u64,
    #[serde(default)]
    accelerators: u64,
}

const TEAM_HEADER: &str = "hyssop-team";
const CLASS_HEADER: &str = "hyssop-class";
const KEY_HEADER: &str = "idempotency-key";
const DEFAULT_TEAM: &str = "default";
const MAX_ID_BYTES: usize = 64;

impl Submission {
    /// Parses a submission and returns the job's initial row.
    ///
    /// # Errors
    ///
    /// Fails with the response to the caller when the body or a header is invalid.
    pub(crate) fn parse(
        pool: &str,
        headers: &HeaderMap,
        body: &[u8],
        wall_ms: u64,
    ) -> Result<Record, Rejection> {
        let bad_request = |message: String| Rejection::new(StatusCode::BAD_REQUEST, message);
        let submission: Self = serde_json::from_slice(body).map_err(|error| {
            bad_request(format!(
                "invalid job: {error}; send {{\"command\":...,\"cpu_millis\":...,\"memory_mib\":...}}"
            ))
        })?;
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let class = match text(CLASS_HEADER) {
            None => Class::default(),
            Some(class) => class.parse().map_err(|_| {
                bad_request(
                    "invalid header hyssop-class; send urgent, normal or deferrable".to_owned(),
                )
            })?,
        };
        let id = match text(KEY_HEADER) {
            None => uuid::Uuid::new_v4().to_string(),
            Some(key) if is_valid_id(key) => key.to_owned(),
            Some(_) => {
                return Err(bad_request(
                    "invalid header idempotency-key; send up to 64 letters, digits, - and _"
                        .to_owned(),
                ))
            }
        };
        Ok(Record::new(
            id,
            Spec {
                pool: pool.to_owned(),
                team: text(TEAM_HEADER).unwrap_or(DEFAULT_TEAM).to_owned(),
                class,
                command: submission.command,
                size: Size {
                    cpu_millis: submission.size.cpu_millis,
                    memory_mib: submission.size.memory_mib,
                    accelerators: submission.size.accelerators,
                },
                is_idempotent: submission.idempotent,
            },
            wall_ms,
        ))
    }
}

/// Returns whether a text is a valid job id.
pub(super) fn is_valid_id(text: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.chars().all(is_plain)
}
