//! Versioned rows of a shared store, organised in tables and shards.

mod codec;
mod commit;
mod cursor;
mod key;
mod offset;
mod page;
mod range;
mod row;
mod shard_page;
mod transaction;

pub use codec::{decode, encode};
pub use commit::Commit;
pub use cursor::Cursor;
pub use key::Key;
pub use offset::Offset;
pub use page::Page;
pub use range::Range;
pub use row::Row;
pub use shard_page::ShardPage;
pub use transaction::Transaction;
