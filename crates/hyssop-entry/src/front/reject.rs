use hyper::StatusCode;

/// Says why a caller's request is malformed, and how to mend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reject {
    pub(crate) status: StatusCode,
    pub(crate) message: String,
}

impl Reject {
    pub(crate) fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }

    /// Refuses a header's value.
    pub(crate) fn header(name: &str, remedy: &str) -> Self {
        Self::new(
            StatusCode::BAD_REQUEST,
            format!("header {name} can't be used; {remedy}"),
        )
    }
}
