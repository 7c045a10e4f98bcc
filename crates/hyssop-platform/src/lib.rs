//! The platform's services as traits, with an HTTP client and in-memory fakes with faults.
//!
//! What must last lives here: the transactional table service and the object store. Calls block,
//! so a daemon makes them on threads of their own and never on the path of a request.

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
