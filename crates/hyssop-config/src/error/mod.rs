//! Why settings or a configuration are refused.

use snafu::Snafu;

/// Says what is wrong, where, and how to mend it.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{file}: can't be read: {reason}; check the path and the permissions"))]
    Unreadable {
        /// The file.
        file: String,
        /// What the operating system said.
        reason: String,
    },
    /// The text is not INI.
    #[snafu(display(
        "{file}:{line}: not INI: {reason}; write `key = value` lines below `[section]` lines"
    ))]
    Syntax {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What the parser said.
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
        /// A value that would do.
        example: String,
    },
    /// A key or section is not known.
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
    /// A key or section stands twice.
    #[snafu(display("{file}:{line}: `{name}` stands twice; keep one"))]
    Repeated {
        /// The file.
        file: String,
        /// The line of the second.
        line: usize,
        /// The key, or the section in brackets.
        name: String,
    },
    /// A value can't be used.
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
        /// How to mend it.
        remedy: String,
    },
}
