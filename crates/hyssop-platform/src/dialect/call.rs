/// An HTTP request to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: &'static str,
    /// The path and the query.
    pub path: String,
    /// Headers in addition to the standard ones.
    pub headers: Vec<(&'static str, String)>,
    /// The body; empty for none.
    pub body: Vec<u8>,
}
