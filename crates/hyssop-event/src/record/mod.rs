//! Events as they are kept and shown.

use crate::Kind;
use serde::{Deserialize, Serialize};

/// Is one event of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The hybrid logical clock, in microseconds since the Unix epoch.
    pub stamp: u64,
    /// The position in the process's ring, from 1.
    pub sequence: u64,
    /// The process's name.
    pub process: String,
    /// What happened.
    pub kind: Kind,
    /// The particulars, in the order in which they are shown.
    pub fields: Vec<(String, String)>,
}

impl Record {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(key, _)| key == name);
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the fields as key=value pairs.
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
