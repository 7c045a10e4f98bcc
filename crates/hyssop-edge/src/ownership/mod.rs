//! Owners' rows: who owns which part, when to take one over, and how one is given up.

mod keeper;
mod registry;
mod takeover;

pub(crate) use keeper::keep_parts;
pub(crate) use registry::{follow_owners, register};
pub(crate) use takeover::release_all;

/// The table of owners, one row a part, and of members in the part without a name.
const OWNERS: &str = "owner";
const OWNER_KEY: &str = "owner";

/// Encodes a row.
///
/// # Panics
///
/// Panics when the value can't be encoded, which no row of these types can cause.
fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("rows are plain data");
    bytes
}
