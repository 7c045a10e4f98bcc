use super::Shape;
use hyssop_model::class::Class;
use std::time::Duration;

/// Says which keys requests bear.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Keys {
    /// Requests have no key.
    #[default]
    None,
    /// Each request has a UUIDv7 of the caller's own, and is repeated until its end is known.
    Unbound,
    /// Each request has a key of `POST /v1/keys`, and is repeated until its end is known.
    Bound,
}

/// Is one kind of request with its rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// The name in reports.
    pub name: String,
    /// The pool, or `None` to send to the target itself.
    pub pool: Option<String>,
    /// The queue.
    pub queue: String,
    /// The class.
    pub class: Class,
    /// The HTTP method.
    pub method: String,
    /// The path at the backend server, such as `/work?ms=20`.
    pub path: String,
    /// The size of the body, in bytes.
    pub body: usize,
    /// How long a caller waits.
    pub deadline: Duration,
    /// Which keys the requests bear.
    pub keys: Keys,
    /// The rate.
    pub shape: Shape,
}

impl Stream {
    /// Makes a stream of GET requests of a pool's queue.
    pub fn new(pool: &str, queue: &str, path: &str, shape: Shape) -> Self {
        Self {
            name: format!("{pool}/{queue}"),
            pool: Some(pool.to_owned()),
            queue: queue.to_owned(),
            class: Class::Normal,
            method: "GET".to_owned(),
            path: path.to_owned(),
            body: 0,
            deadline: Duration::from_secs(2),
            keys: Keys::None,
            shape,
        }
    }
}
