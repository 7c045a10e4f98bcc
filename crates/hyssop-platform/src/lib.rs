//! The platform's services as traits, with an HTTP client and in-memory fakes with fault injection.
//!
//! Durable state is kept in the transactional table service and the object store. Calls block, so
//! a daemon makes them on dedicated threads and never on the request path.

pub mod dialect;
pub mod error;
pub mod fake;
pub mod http;
pub mod keys;
pub mod object;
pub mod resolve;
pub mod roster;
pub mod rows;
pub mod table;
pub mod worker;

pub use error::Error;
