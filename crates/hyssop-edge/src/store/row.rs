use hyssop_platform::rows::Row;
use serde::de::DeserializeOwned;

/// Decodes a row of `shard`, which rows that were read by range don't name; logs and returns `None`
/// if it is malformed.
pub(crate) fn decode_row<T: DeserializeOwned>(shard: &str, row: &Row) -> Option<T> {
    match ciborium::from_reader(row.value.as_slice()) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            log::error!(
                "event=row-unreadable part={shard} key={} bytes={} reason={error:?}",
                row.key.key,
                row.value.len()
            );
            None
        }
    }
}
