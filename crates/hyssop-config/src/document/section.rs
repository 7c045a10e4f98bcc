use crate::error::{Error, MissingKeySnafu, UnknownSnafu, ValueSnafu};
use crate::unit::Value;
use snafu::OptionExt;
use std::collections::BTreeMap;

/// One section of a [`Document`](super::Document). Reading a key removes it, so that
/// [`Section::finish`] finds the unknown ones.
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

    /// Returns the line of the section header, counted from 1.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Removes `key` and returns its parsed value.
    ///
    /// # Errors
    ///
    /// Fails if the key is missing or its value is not a valid `T`.
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

    /// Removes `key` and returns its parsed value, or `default` if the key is missing.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a valid `T`.
    pub fn take_or<T: Value>(&mut self, key: &str, default: T) -> Result<T, Error> {
        Ok(self.take_optional(key)?.unwrap_or(default))
    }

    /// Removes `key` and returns its parsed value, or `None` if the key is missing.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a valid `T`.
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
                remedy: format!("for example, write `{key} = {}`", T::EXAMPLE),
            }
            .fail(),
        }
    }

    /// Creates the error for a value that parses but is not allowed.
    pub fn invalid(&self, key: &str, value: &str, reason: &str, remedy: &str) -> Error {
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

    /// Rejects the section if it has unknown keys, which are those not removed so far.
    ///
    /// # Errors
    ///
    /// Fails with the first unknown key, in the order of lines.
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
