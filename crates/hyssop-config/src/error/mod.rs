//! Errors in settings and configurations.

use snafu::Snafu;

/// An invalid setting or configuration, with its location and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{file}: can't be read: {reason}; check the path and the permissions"))]
    Unreadable {
        /// The file.
        file: String,
        /// The operating system's error.
        reason: String,
    },
    /// The text is not valid INI.
    #[snafu(display(
        "{file}:{line}: invalid INI syntax: {reason}; write `key = value` lines below `[section]` lines"
    ))]
    Syntax {
        /// The file.
        file: String,
        /// The line, counted from 1.
        line: usize,
        /// The parser's error.
        reason: String,
    },
    /// A section is missing.
    #[snafu(display("{file}: section [{section}] is missing; add it"))]
    MissingSection {
        /// The file.
        file: String,
        /// The section.
        section: String,
    },
    /// A key is missing.
    #[snafu(display("{file}:{line}: [{section}] lacks `{key}`; add `{key} = {example}`"))]
    MissingKey {
        /// The file.
        file: String,
        /// The section's line.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// An example of a valid value.
        example: String,
    },
    /// A key or section is unknown.
    #[snafu(display(
        "{file}:{line}: `{name}` is not known here; remove it or correct its spelling"
    ))]
    Unknown {
        /// The file.
        file: String,
        /// The line.
        line: usize,
        /// The key, or the section in brackets.
        name: String,
    },
    /// A key or section is defined twice.
    #[snafu(display("{file}:{line}: `{name}` is defined twice; keep one"))]
    Redefined {
        /// The file.
        file: String,
        /// The line of the second definition.
        line: usize,
        /// The key, or the section in brackets.
        name: String,
    },
    /// A value is malformed or not allowed.
    #[snafu(display("{file}:{line}: `{key} = {value}`: {reason}; {remedy}"))]
    Value {
        /// The file.
        file: String,
        /// The line.
        line: usize,
        /// The key.
        key: String,
        /// The value as written.
        value: String,
        /// What is wrong with it.
        reason: String,
        /// How to correct it.
        remedy: String,
    },
}
