/// How far a process has come on its way from service to its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// All requests are served, and connections are kept.
    Serving,
    /// All requests are served, and each connection is closed after its next answer.
    Parting,
    /// No connections are accepted, and requests that arrive on open ones are served.
    Closed,
    /// Requests that arrive on open connections are refused.
    Refusing,
    /// Requests in flight get their final answers, and connections are closed.
    Final,
}
