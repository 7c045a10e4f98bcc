use super::failure::Failure;
use super::handler::Operator;
use crate::front::{json, Reply};
use crate::store::new_transaction_id;
use bytes::Bytes;
use hyper::StatusCode;
use hyssop_config::fleet::Fleet;
use hyssop_event::Kind;
use hyssop_model::config::{Head, Version};
use hyssop_platform::keys;
use hyssop_platform::resolve::Commit;
use hyssop_platform::table::{read_one, Condition, Row, Transaction};
use serde::Serialize;

/// Is the configuration as operators read it.
#[derive(Debug, Serialize)]
struct Shown {
    head: Head,
    text: Option<String>,
}

/// Answers a proposal.
#[derive(Debug, Serialize)]
struct Proposed {
    version: u64,
}

pub(super) fn show(operator: &Operator) -> Result<Reply, Failure> {
    let head = read_head(operator)?.1;
    let text = match head.accepted.number {
        0 => None,
        _ => operator.objects.get(&head.accepted.object)?,
    };
    Ok(json(StatusCode::OK, &Shown { head, text }))
}

/// Proposes a configuration on top of the version that the operator read.
pub(super) fn propose(
    operator: &Operator,
    query: Option<&str>,
    body: &Bytes,
) -> Result<Reply, Failure> {
    let query = Query::read(query)?;
    let text = std::str::from_utf8(body).map_err(|_| {
        Failure::new(
            StatusCode::BAD_REQUEST,
            "the configuration is not UTF-8; save it as UTF-8",
        )
    })?;
    Fleet::parse(&query.file, text)
        .map_err(|error| Failure::new(StatusCode::BAD_REQUEST, error.to_string()))?;
    let (row, mut head) = read_head(operator)?;
    if head.accepted.number != query.expect || head.proposed.is_some() {
        return Err(conflict(&head, query.expect));
    }
    let transaction_id = new_transaction_id();
    let version = Version {
        number: head.last_number + 1,
        object: keys::config_object(&transaction_id),
        author: query.author,
        proposed_ms: operator.clock.wall_ms(),
    };
    operator.objects.put(&version.object, text)?;
    head.last_number = version.number;
    head.proposed = Some(version.clone());
    let transaction = Transaction::new(transaction_id)
        .require(Condition::as_read(keys::CONFIG, row.as_ref()))
        .put(keys::CONFIG, &head)
        .put(&keys::config_version(version.number), &version);
    match operator.commit(&transaction)? {
        Commit::Done => {
            operator.recorder.record(
                Kind::ConfigProposed,
                &[("version", &version.number), ("by", &version.author)],
            );
            Ok(json(
                StatusCode::ACCEPTED,
                &Proposed {
                    version: version.number,
                },
            ))
        }
        Commit::Conflict(_) => Err(conflict(&read_head(operator)?.1, query.expect)),
    }
}

fn conflict(head: &Head, expected: u64) -> Failure {
    let accepted = &head.accepted;
    let message = match &head.proposed {
        Some(proposed) => format!(
            "version {} by {} is being rolled out; wait for it (`hyssopctl rollout`), compare and repeat",
            proposed.number, proposed.author
        ),
        None => format!(
            "your change is based on version {expected}, but version {} by {} is in force; compare with `hyssopctl \
             diff` and repeat",
            accepted.number, accepted.author
        ),
    };
    Failure::new(StatusCode::CONFLICT, message)
}

fn read_head(operator: &Operator) -> Result<(Option<Row>, Head), Failure> {
    let row = read_one(operator.table.as_ref(), keys::CONFIG)?;
    let head = row.as_ref().map_or(Ok(Head::default()), Row::parse)?;
    Ok((row, head))
}

/// Is the query of a proposal: `expect=NUMBER&author=NAME&file=NAME`.
struct Query {
    expect: u64,
    author: String,
    file: String,
}

impl Query {
    fn read(query: Option<&str>) -> Result<Self, Failure> {
        let mut read = Self {
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
                    let bad =
                        |_| Failure::new(StatusCode::BAD_REQUEST, "expect is not a version number");
                    read.expect = value.parse().map_err(bad)?;
                }
                Some(("author", value)) => read.author = value.to_owned(),
                Some(("file", value)) => read.file = value.to_owned(),
                _ => {
                    return Err(Failure::new(
                        StatusCode::BAD_REQUEST,
                        format!("{pair} is not known"),
                    ))
                }
            }
        }
        Ok(read)
    }
}
