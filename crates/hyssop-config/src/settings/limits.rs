use crate::document::Document;
use crate::error::Error;
use crate::unit::{Bytes, Span};
use std::time::Duration;

/// The limits of an entry on requests from callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub body: u64,
    /// The memory for the bodies of all requests that are read or served, in bytes; a quarter is for the first
    /// 16 KiB of each.
    pub body_memory: u64,
    /// The maximum size of a request head, in bytes.
    pub head: u64,
    /// The maximum size of a response from a backend server, in bytes.
    pub answer: u64,
    /// The maximum number of open connections from callers.
    pub connections: u32,
    /// How long a caller may take to send the head of a request.
    pub head_timeout: Duration,
    /// How long a caller may take to send the body of a request.
    pub body_timeout: Duration,
    /// The deadline of requests that don't name one.
    pub deadline: Duration,
    /// The maximum deadline that a request may name.
    pub longest_deadline: Duration,
    /// How long the responses to requests with an idempotency key are kept.
    pub answer_retention: Duration,
    /// The maximum size of the kept responses to requests with an idempotency key, in bytes.
    pub answer_memory: u64,
}

impl Limits {
    /// Removes and parses the `[limits]` section. Every key has a default.
    ///
    /// # Errors
    ///
    /// Fails if a value is invalid.
    pub fn parse_section(document: &mut Document) -> Result<Self, Error> {
        let mut section = document.take_or_empty("limits");
        let defaults = Self::default();
        let limits = Self {
            body: section.take_or("body", Bytes(defaults.body))?.0,
            body_memory: section
                .take_or("body_memory", Bytes(defaults.body_memory))?
                .0,
            head: section.take_or("head", Bytes(defaults.head))?.0,
            answer: section.take_or("answer", Bytes(defaults.answer))?.0,
            connections: section.take_or("connections", defaults.connections)?,
            head_timeout: section
                .take_or("head_timeout", Span(defaults.head_timeout))?
                .0,
            body_timeout: section
                .take_or("body_timeout", Span(defaults.body_timeout))?
                .0,
            deadline: section.take_or("deadline", Span(defaults.deadline))?.0,
            longest_deadline: section
                .take_or("longest_deadline", Span(defaults.longest_deadline))?
                .0,
            answer_retention: section
                .take_or("answer_retention", Span(defaults.answer_retention))?
                .0,
            answer_memory: section
                .take_or("answer_memory", Bytes(defaults.answer_memory))?
                .0,
        };
        const MIN_HEAD_BYTES: u64 = 8 << 10;
        if limits.head < MIN_HEAD_BYTES {
            let value = limits.head.to_string();
            return Err(section.invalid("head", &value, "it is too small", "write at least 8KiB"));
        }
        section.finish()?;
        Ok(limits)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 1 << 20,
            body_memory: 32 << 20,
            head: 16 << 10,
            answer: 8 << 20,
            connections: 4096,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            deadline: Duration::from_secs(10),
            longest_deadline: Duration::from_secs(300),
            answer_retention: Duration::from_secs(600),
            answer_memory: 32 << 20,
        }
    }
}
