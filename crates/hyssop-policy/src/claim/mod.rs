//! At most once: a keyed request is claimed at the key's home before it is sent.
//!
//! Claims live in memory. A bound key names the incarnation that minted it, which is its home for
//! ever or hands its claims over at a planned stop; an unbound key is a UUIDv7 whose home follows
//! from the membership epoch, and whose time of minting makes a change of home safe.

mod action;
mod asker;
mod authority;
mod coordinator;
mod event;
mod handover;
mod history;
mod key;
mod registry;
mod settings;

pub use action::Action;
pub use coordinator::Coordinator;
pub use event::Event;
pub use key::Key;
pub use settings::Settings;

pub(crate) use asker::Asker;
pub(crate) use authority::Authority;
pub(crate) use handover::Handover;
pub(crate) use history::History;
pub(crate) use registry::Registry;
