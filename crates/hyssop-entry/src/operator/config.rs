use super::failure::Failure;
use super::handler::CommandHandler;
use crate::front::{json, Reply};
use crate::store::new_write_id;
use bytes::Bytes;
use hyper::StatusCode;
use hyssop_config::fleet::Fleet;
use hyssop_event::Kind;
use hyssop_model::config::{Head, Version};
use hyssop_platform::keys;
use hyssop_platform::resolve::Commit;
use hyssop_platform::table::{read_one, Condition, Row, Transaction};
use serde::Serialize;

/// The accepted configuration with its head, as returned to operators.
#[derive(Debug, Serialize)]
struct ConfigView {
    head: Head,
    text: Option<String>,
}

/// The response to a proposal.
#[derive(Debug, Serialize)]
struct ProposalResponse {
    version: u64,
}

/// Returns the configuration head and the accepted text.
pub(super) fn show(handler: &CommandHandler) -> Result<Reply, Failure> {
    let head = read_head(handler)?.1;
    let text = match head.accepted.number {
        0 => None,
        _ => handler.objects.get(&head.accepted.object)?,
    };
    Ok(json(StatusCode::OK, &ConfigView { head, text }))
}

/// Proposes a configuration that is based on the version the operator has read.
pub(super) fn propose(
    handler: &CommandHandler,
    query: Option<&str>,
    body: &Bytes,
) -> Result<Reply, Failure> {
    let query = Query::parse(query)?;
    let text = std::str::from_utf8(body).map_err(|_| {
        Failure::new(
            StatusCode::BAD_REQUEST,
            "the configuration is not UTF-8; save it as UTF-8",
        )
    })?;
    Fleet::parse(&query.file, text)
        .map_err(|error| Failure::new(StatusCode::BAD_REQUEST, error.to_string()))?;
    let (row, mut head) = read_head(handler)?;
    if head.accepted.number != query.expect || head.proposed.is_some() {
        return Err(conflict(&head, query.expect));
    }
    let write_id = new_write_id();
    let version = Version {
        number: head.last_number + 1,
        object: keys::config_object(&write_id),
        author: query.author,
        proposed_ms: handler.clock.wall_ms(),
    };
    handler.objects.put(&version.object, text)?;
    head.last_number = version.number;
    head.proposed = Some(version.clone());
    let transaction = Transaction::new(write_id)
        .require(Condition::as_read(keys::CONFIG, row.as_ref()))
        .put(keys::CONFIG, &head)
        .put(&keys::config_version(version.number), &version);
    match handler.commit(&transaction)? {
        Commit::Done => {
            handler.recorder.record(
                Kind::ConfigProposed,
                &[("version", &version.number), ("by", &version.author)],
            );
            Ok(json(
                StatusCode::ACCEPTED,
                &ProposalResponse {
                    version: version.number,
                },
            ))
        }
        Commit::Conflict(_) => Err(conflict(&read_head(handler)?.1, query.expect)),
    }
}

fn conflict(head: &Head, expected: u64) -> Failure {
    let accepted = &head.accepted;
    let message = match &head.proposed {
        Some(proposed) => format!(
            "version {} by {} is being rolled out; wait until it is accepted \
             (`hyssopctl rollout`), compare and retry",
            proposed.number, proposed.author
        ),
        None => format!(
            "your change is based on version {expected}, but version {} by {} is in force; compare with `hyssopctl \
             diff` and retry",
            accepted.number, accepted.author
        ),
    };
    Failure::new(StatusCode::CONFLICT, message)
}

fn read_head(handler: &CommandHandler) -> Result<(Option<Row>, Head), Failure> {
    let row = read_one(handler.table.as_ref(), keys::CONFIG)?;
    let head = row.as_ref().map_or(Ok(Head::default()), Row::parse)?;
    Ok((row, head))
}

/// The query of a proposal: `expect=NUMBER&author=NAME&file=NAME`.
struct Query {
    expect: u64,
    author: String,
    file: String,
}

impl Query {
    fn parse(query: Option<&str>) -> Result<Self, Failure> {
        let mut parsed = Self {
            expect: 0,
            author: "unknown".to_owned(),
            file: "configuration".to_owned(),
        };
        for pair in query
            .unwrap_or("")
            .split('&')
            .filter(|pair| !pair.is_empty())
        {
            match pair.split_once('=') {
                Some(("expect", value)) => {
                    let invalid =
                        |_| Failure::new(StatusCode::BAD_REQUEST, "expect is not a version number");
                    parsed.expect = value.parse().map_err(invalid)?;
                }
                Some(("author", value)) => parsed.author = value.to_owned(),
                Some(("file", value)) => parsed.file = value.to_owned(),
                _ => {
                    return Err(Failure::new(
                        StatusCode::BAD_REQUEST,
                        format!("unknown query parameter {pair}"),
                    ))
                }
            }
        }
        Ok(parsed)
    }
}
