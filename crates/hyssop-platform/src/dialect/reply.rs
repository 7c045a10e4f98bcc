/// A complete HTTP response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}
