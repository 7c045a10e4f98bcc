//! Recorded events.

use crate::Kind;
use serde::{Deserialize, Serialize};

/// A recorded event of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The timestamp of the hybrid logical clock, in microseconds since the Unix epoch.
    pub stamp: u64,
    /// The sequence number of the event in its process, counted from 1.
    pub sequence: u64,
    /// The process's name.
    pub process: String,
    /// The kind of event.
    pub kind: Kind,
    /// The fields by name, in the order in which they are printed.
    pub fields: Vec<(String, String)>,
}

impl Record {
    /// Returns the value of the field `name`, if there is one.
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(key, _)| key == name);
        field.map(|(_, value)| value.as_str())
    }

    /// Formats the fields as key=value pairs, each preceded by a space. Values that are empty or contain
    /// spaces, quotes or equals signs are quoted.
    pub fn pairs(&self) -> String {
        let mut line = String::new();
        for (key, value) in &self.fields {
            line.push(' ');
            line.push_str(key);
            line.push('=');
            if value.contains([' ', '"', '=']) || value.is_empty() {
                line.push_str(&format!("{value:?}"));
            } else {
                line.push_str(value);
            }
        }
        line
    }
}
