use serde::de::DeserializeOwned;
use serde::Serialize;

/// Encodes a row's value.
///
/// # Panics
///
/// Panics when the value can't be encoded, which does not happen for plain data.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("rows are plain data");
    bytes
}

/// Decodes a row's value, or returns `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
