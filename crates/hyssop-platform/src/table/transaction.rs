use super::{Condition, Write};
use serde::{Deserialize, Serialize};

/// A set of writes that take effect together if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The transaction's identifier, stored in each row that it writes.
    pub write_id: String,
    /// The conditions that must hold.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates an empty transaction with the identifier `write_id`, which must be unique.
    pub fn new(write_id: impl Into<String>) -> Self {
        Self {
            write_id: write_id.into(),
            ..Self::default()
        }
    }

    /// Adds a condition.
    pub fn require(mut self, condition: Condition) -> Self {
        self.conditions.push(condition);
        self
    }

    /// Adds the write of `value` as JSON.
    ///
    /// # Panics
    ///
    /// Panics when `value` has no JSON form, which a row type of this workspace always has.
    pub fn put<T: Serialize>(mut self, key: &str, value: &T) -> Self {
        let body = serde_json::to_string(value).expect("a row type has a JSON form");
        self.writes.push(Write {
            key: key.to_owned(),
            body: Some(body),
        });
        self
    }

    /// Adds the deletion of a row.
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write {
            key: key.to_owned(),
            body: None,
        });
        self
    }
}
