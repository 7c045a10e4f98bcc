use super::failure::Failure;
use super::{config, view};
use crate::front::Reply;
use crate::front::{json, text};
use crate::store::new_write_id;
use bytes::Bytes;
use hyper::{Method, StatusCode, Uri};
use hyssop_event::{Kind, Recorder};
use hyssop_model::intent::{Drain, Phase, Scope, Wave};
use hyssop_model::prelude::*;
use hyssop_platform::object::Object;
use hyssop_platform::resolve::{self, Commit};
use hyssop_platform::table::{read_one, Condition, Table, Transaction};
use hyssop_platform::{keys, Error};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Handler of operator commands.
pub(crate) struct CommandHandler {
    pub(crate) region: String,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) objects: Arc<dyn Object>,
    pub(crate) recorder: Recorder,
}

/// The body of a request that starts a maintenance wave.
#[derive(Debug, Deserialize)]
struct WaveRequest {
    scope: Scope,
    author: String,
    within_ms: u64,
}

/// The response to a command, with its effect.
#[derive(Debug, Serialize)]
struct CommandResult<'a> {
    done: &'a str,
}

/// Attempts to commit a transaction while its result is unknown.
const ATTEMPTS: u32 = 8;

impl CommandHandler {
    /// Handles a request whose path starts with `/v1/operator/`.
    pub(crate) fn handle(&self, method: &Method, uri: &Uri, body: &Bytes) -> Reply {
        let path: Vec<&str> = uri
            .path()
            .trim_start_matches("/v1/operator/")
            .split('/')
            .collect();
        let result = match (method.as_str(), path.as_slice()) {
            ("GET", ["status"]) => view::status(self),
            ("GET", ["instances"]) => view::instances(self),
            ("GET", ["pools"]) => view::pools(self),
            ("GET", ["intents"]) => view::intents(self),
            ("GET", ["config"]) => config::show(self),
            ("POST", ["config"]) => config::propose(self, uri.query(), body),
            ("PUT", ["drains", instance]) => self.drain(instance, body),
            ("DELETE", ["drains", instance]) => self.undrain(instance),
            ("POST", ["wave"]) => self.start_wave(body),
            ("PUT", ["wave", "pause"]) => self.set_wave_phase(Phase::Paused),
            ("PUT", ["wave", "resume"]) => self.set_wave_phase(Phase::Running),
            ("PUT", ["wave", "cancel"]) => self.set_wave_phase(Phase::Cancelled),
            _ => Err(Failure::new(StatusCode::NOT_FOUND, "unknown command")),
        };
        match result {
            Ok(reply) => reply,
            Err(failure) => text(failure.status, format!("{}\n", failure.message)),
        }
    }

    /// Commits the transaction of a command, and determines its result if the response was lost.
    pub(super) fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        const RETRY_DELAY: Duration = Duration::from_millis(100);
        resolve::commit(self.table.as_ref(), transaction, ATTEMPTS, |attempt| {
            RETRY_DELAY * (attempt + 1)
        })
    }

    /// Requests the drain of an instance.
    fn drain(&self, instance: &str, body: &Bytes) -> Result<Reply, Failure> {
        if read_one(self.table.as_ref(), &keys::instance(&self.region, instance))?.is_none() {
            let message =
                format!("there is no instance {instance}; `hyssopctl instances` lists them");
            return Err(Failure::new(StatusCode::NOT_FOUND, message));
        }
        let key = keys::drain(&self.region, instance);
        if read_one(self.table.as_ref(), &key)?.is_some() {
            return Ok(json(
                StatusCode::OK,
                &CommandResult {
                    done: "asked-before",
                },
            ));
        }
        let drain = Drain {
            instance: instance.to_owned(),
            author: String::from_utf8_lossy(body).into_owned(),
            asked_ms: self.clock.wall_ms(),
        };
        let transaction = Transaction::new(new_write_id())
            .require(Condition::absent(&key))
            .put(&key, &drain);
        self.commit(&transaction)?;
        self.recorder.record(
            Kind::DrainAsked,
            &[("instance", &instance), ("by", &drain.author)],
        );
        Ok(json(StatusCode::OK, &CommandResult { done: "asked" }))
    }

    /// Withdraws the drain of an instance.
    fn undrain(&self, instance: &str) -> Result<Reply, Failure> {
        let key = keys::drain(&self.region, instance);
        let Some(row) = read_one(self.table.as_ref(), &key)? else {
            return Ok(json(StatusCode::OK, &CommandResult { done: "no-drain" }));
        };
        let transaction = Transaction::new(new_write_id())
            .require(Condition::unchanged(&row))
            .delete(&key);
        self.commit(&transaction)?;
        Ok(json(StatusCode::OK, &CommandResult { done: "withdrawn" }))
    }

    /// Starts a maintenance wave unless one is in progress.
    fn start_wave(&self, body: &Bytes) -> Result<Reply, Failure> {
        let request: WaveRequest = serde_json::from_slice(body).map_err(|error| {
            Failure::new(StatusCode::BAD_REQUEST, format!("invalid wave: {error}"))
        })?;
        let key = keys::wave(&self.region);
        let row = read_one(self.table.as_ref(), &key)?;
        if let Some(row) = &row {
            let current: Wave = row.parse()?;
            if matches!(current.phase, Phase::Running | Phase::Paused) {
                let message =
                    "a wave is in progress; cancel it first with `hyssopctl maintenance cancel`";
                return Err(Failure::new(StatusCode::CONFLICT, message));
            }
        }
        let started_ms = self.clock.wall_ms();
        let wave = Wave {
            scope: request.scope,
            phase: Phase::Running,
            author: request.author,
            started_ms,
            deadline_ms: started_ms + request.within_ms,
        };
        self.write_wave(row.as_ref(), &wave)
    }

    /// Pauses, resumes or cancels the maintenance wave.
    fn set_wave_phase(&self, phase: Phase) -> Result<Reply, Failure> {
        let row = read_one(self.table.as_ref(), &keys::wave(&self.region))?;
        let Some(row) = row else {
            let message =
                "there is no maintenance wave; start one with `hyssopctl maintenance start`";
            return Err(Failure::new(StatusCode::NOT_FOUND, message));
        };
        let mut wave: Wave = row.parse()?;
        if wave.phase == phase {
            return Ok(json(StatusCode::OK, &CommandResult { done: "unchanged" }));
        }
        if matches!(wave.phase, Phase::Done | Phase::Cancelled) {
            let message = format!("the wave is {}; start a new one", wave.phase);
            return Err(Failure::new(StatusCode::CONFLICT, message));
        }
        wave.phase = phase;
        self.write_wave(Some(&row), &wave)
    }

    fn write_wave(
        &self,
        row: Option<&hyssop_platform::table::Row>,
        wave: &Wave,
    ) -> Result<Reply, Failure> {
        let key = keys::wave(&self.region);
        let transaction = Transaction::new(new_write_id())
            .require(Condition::as_read(&key, row))
            .put(&key, wave);
        match self.commit(&transaction)? {
            Commit::Done => {
                let phase = wave.phase;
                self.recorder.record(
                    Kind::WaveChanged,
                    &[("phase", &phase), ("by", &wave.author)],
                );
                Ok(json(StatusCode::OK, wave))
            }
            Commit::Conflict(_) => {
                let message = "another operator changed the wave; check its state and retry";
                Err(Failure::new(StatusCode::CONFLICT, message))
            }
        }
    }
}
