use serde::de::DeserializeOwned;
use serde::Serialize;

/// Encodes a row's value.
///
/// # Panics
///
/// Panics when the value can't be encoded, which no plain data can cause.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("rows are plain data");
    bytes
}

/// Decodes a row's value; `None` where it can't be read.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
