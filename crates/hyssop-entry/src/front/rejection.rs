use hyper::StatusCode;

/// An error response to an invalid request, with the cause and a remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) status: StatusCode,
    pub(crate) message: String,
}

impl Rejection {
    pub(crate) fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }

    /// Creates the rejection of a header's value.
    pub(crate) fn header(name: &str, remedy: &str) -> Self {
        Self::new(
            StatusCode::BAD_REQUEST,
            format!("invalid header {name}; {remedy}"),
        )
    }
}
