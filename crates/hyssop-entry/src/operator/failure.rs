use hyper::StatusCode;
use hyssop_platform::Error;

/// The error response to an operator command, with the cause and a remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Failure {
    pub(super) status: StatusCode,
    pub(super) message: String,
}

impl Failure {
    pub(super) fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let status = match error {
            Error::Conflict { .. } => StatusCode::CONFLICT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self::new(status, error.to_string())
    }
}
