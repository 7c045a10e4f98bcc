/// Holds a request before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Headers beside the usual ones.
    pub headers: Vec<(&'static str, String)>,
    /// The body; empty for none.
    pub body: Vec<u8>,
}
