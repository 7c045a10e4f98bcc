//! Leases stored in the table service.

mod record;

pub use record::Record;
