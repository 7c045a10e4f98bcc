use crate::front::Reject;
use hyper::{HeaderMap, StatusCode};
use hyssop_model::class::Class;
use hyssop_model::job::{Record, Size, Spec};
use serde::Deserialize;

/// Is the body of a submission.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Submission {
    /// The command reference.
    command: String,
    /// What the job needs.
    #[serde(flatten)]
    size: Needs,
    /// Whether it may be started again.
    #[serde(default)]
    idempotent: bool,
}

/// Is what a submission declares to need.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Needs {
    cpu_millis: u64,
    memory_mib: u64,
    #[serde(default)]
    accelerators: u64,
}

const TEAM_HEADER: &str = "hyssop-team";
const CLASS_HEADER: &str = "hyssop-class";
const KEY_HEADER: &str = "idempotency-key";
const DEFAULT_TEAM: &str = "default";
const LONGEST_ID: usize = 64;

impl Submission {
    /// Reads a submission and returns the job's first row.
    ///
    /// # Errors
    ///
    /// Fails with what the caller is told when a part can't be used.
    pub(crate) fn read(
        pool: &str,
        headers: &HeaderMap,
        body: &[u8],
        wall_ms: u64,
    ) -> Result<Record, Reject> {
        let bad = |message: String| Reject::new(StatusCode::BAD_REQUEST, message);
        let submission: Self = serde_json::from_slice(body).map_err(|error| {
            bad(format!(
                "the job can't be read: {error}; send {{\"command\":...,\"cpu_millis\":...,\"memory_mib\":...}}"
            ))
        })?;
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let class = match text(CLASS_HEADER) {
            None => Class::default(),
            Some(class) => class.parse().map_err(|_| {
                bad("header hyssop-class: send urgent, normal or deferrable".to_owned())
            })?,
        };
        let id = match text(KEY_HEADER) {
            None => uuid::Uuid::new_v4().to_string(),
            Some(key) if is_id(key) => key.to_owned(),
            Some(_) => {
                return Err(bad(
                    "header idempotency-key: send up to 64 letters, digits, - and _".to_owned(),
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

/// Tells whether a text can name a job's row.
pub(super) fn is_id(text: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.len() <= LONGEST_ID && text.chars().all(is_plain)
}
