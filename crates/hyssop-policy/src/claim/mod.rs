//! At-most-once execution: a keyed request is claimed at the key's home before it is sent.
//!
//! Claims are kept in memory only. A bound key names the entry's incarnation that minted it, which
//! remains its home unless it hands its claims over at a planned stop. An unbound key is a UUIDv7:
//! its home follows from the membership epoch, and its timestamp makes a change of home safe.

mod action;
mod authority;
mod coordinator;
mod event;
mod handover;
mod history;
mod key;
mod outgoing;
mod registry;
mod settings;

pub use action::Action;
pub use coordinator::Coordinator;
pub use event::Event;
pub use key::Key;
pub use settings::Settings;

pub(crate) use authority::Authority;
pub(crate) use handover::OutgoingHandover;
pub(crate) use history::History;
pub(crate) use outgoing::OutgoingClaims;
pub(crate) use registry::Registry;
