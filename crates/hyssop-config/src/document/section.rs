use crate::error::{Error, MissingKeySnafu, UnknownSnafu, ValueSnafu};
use crate::unit::Value;
use snafu::OptionExt;
use std::collections::BTreeMap;

/// Is one section of a [`Document`](super::Document); reading a key takes it out.
#[derive(Clone, Debug)]
pub struct Section {
    file: String,
    name: String,
    line: usize,
    values: BTreeMap<String, (String, usize)>,
}

impl Section {
    pub(super) fn new(file: &str, name: &str, line: usize) -> Self {
        Self {
            file: file.to_owned(),
            name: name.to_owned(),
            line,
            values: BTreeMap::new(),
        }
    }

    pub(super) fn insert(&mut self, key: &str, value: &str, line: usize) {
        self.values.insert(key.to_owned(), (value.to_owned(), line));
    }

    /// Returns the section's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the section's line, from 1.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Takes the value of `key`.
    ///
    /// # Errors
    ///
    /// Fails when the key is missing or its value is not a `T`.
    pub fn take<T: Value>(&mut self, key: &str) -> Result<T, Error> {
        let value = self.take_optional(key)?;
        value.context(MissingKeySnafu {
            file: &self.file,
            line: self.line,
            section: &self.name,
            key,
            example: T::EXAMPLE,
        })
    }

    /// Takes the value of `key`, or `default` when the key is missing.
    ///
    /// # Errors
    ///
    /// Fails when the value is not a `T`.
    pub fn take_or<T: Value>(&mut self, key: &str, default: T) -> Result<T, Error> {
        Ok(self.take_optional(key)?.unwrap_or(default))
    }

    /// Takes the value of `key`, if it stands there.
    ///
    /// # Errors
    ///
    /// Fails when the value is not a `T`.
    pub fn take_optional<T: Value>(&mut self, key: &str) -> Result<Option<T>, Error> {
        let Some((value, line)) = self.values.remove(key) else {
            return Ok(None);
        };
        match T::parse(&value) {
            Ok(parsed) => Ok(Some(parsed)),
            Err(reason) => ValueSnafu {
                file: &self.file,
                line,
                key,
                value,
                reason,
                remedy: format!("write for example `{key} = {}`", T::EXAMPLE),
            }
            .fail(),
        }
    }

    /// Makes the refusal of a value that can be read but not used.
    pub fn refuse(&self, key: &str, value: &str, reason: &str, remedy: &str) -> Error {
        ValueSnafu {
            file: &self.file,
            line: self.line,
            key,
            value,
            reason,
            remedy,
        }
        .build()
    }

    /// Refuses keys that nobody took.
    ///
    /// # Errors
    ///
    /// Fails with the first such key.
    pub fn finish(self) -> Result<(), Error> {
        match self.values.iter().min_by_key(|(_, (_, line))| *line) {
            None => Ok(()),
            Some((key, (_, line))) => UnknownSnafu {
                file: &self.file,
                line: *line,
                name: key,
            }
            .fail(),
        }
    }
}
