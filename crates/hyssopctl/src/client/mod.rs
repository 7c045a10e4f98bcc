//! HTTP client for the operator API of an entry.

use crate::error::{Error, MalformedSnafu, RefusedSnafu, UnreachableSnafu};
use minreq::{Request, Response};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

/// A client of one entry.
pub(crate) struct Client {
    base: String,
}

const TIMEOUT_S: u64 = 10;
const FIRST_ERROR_STATUS: i32 = 400;

impl Client {
    pub(crate) fn new(entry: &str) -> Self {
        let entry = entry.trim_end_matches('/');
        let base = if entry.starts_with("http://") {
            entry.to_owned()
        } else {
            format!("http://{entry}")
        };
        Self { base }
    }

    /// Fetches JSON from the operator API.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let url = self.url(path);
        parse(&send(minreq::get(&url), &url)?)
    }

    /// Fetches JSON from a path outside the operator API.
    pub(crate) fn get_absolute<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let url = format!("{}{path}", self.base);
        parse(&send(minreq::get(&url), &url)?)
    }

    /// Sends a POST request with a body and returns the text of the response.
    pub(crate) fn post(&self, path: &str, body: &str) -> Result<String, Error> {
        let url = self.url(path);
        text(&send(minreq::post(&url).with_body(body), &url)?)
    }

    /// Sends a PUT request, which is idempotent, and returns the text of the response.
    pub(crate) fn put(&self, path: &str, body: &str) -> Result<String, Error> {
        let url = self.url(path);
        text(&send(minreq::put(&url).with_body(body), &url)?)
    }

    /// Sends a DELETE request, which is idempotent, and returns the text of the response.
    pub(crate) fn delete(&self, path: &str) -> Result<String, Error> {
        let url = self.url(path);
        text(&send(minreq::delete(&url), &url)?)
    }

    fn url(&self, path: &str) -> String {
        format!("{}/v1/operator/{path}", self.base)
    }
}

fn send(request: Request, url: &str) -> Result<Response, Error> {
    let response = request
        .with_timeout(TIMEOUT_S)
        .send()
        .context(UnreachableSnafu { url })?;
    if response.status_code < FIRST_ERROR_STATUS {
        return Ok(response);
    }
    RefusedSnafu {
        status: response.status_code,
        message: text(&response)?.trim().to_owned(),
    }
    .fail()
}

fn text(response: &Response) -> Result<String, Error> {
    let text = response.as_str().map_err(|error| {
        MalformedSnafu {
            reason: error.to_string(),
        }
        .build()
    })?;
    Ok(text.to_owned())
}

fn parse<T: DeserializeOwned>(response: &Response) -> Result<T, Error> {
    serde_json::from_slice(response.as_bytes()).map_err(|error| {
        MalformedSnafu {
            reason: error.to_string(),
        }
        .build()
    })
}
