//! Allocation of the instances' slots between entries: a slot is the right to have one request in
//! flight on an instance.

mod action;
mod allocator;
mod event;
mod grant;
mod home;
mod inbound_loan;
mod instance_slots;
mod inventory;
mod ledger;
mod outbound_loan;
mod peer_holdings;
mod settings;
mod two_choices;

pub use action::Action;
pub use allocator::{Allocator, AntiAffinity};
pub use event::Event;
pub use grant::Grant;
pub use home::HomeAllocator;
pub use settings::Settings;
pub use two_choices::TwoChoices;

pub(crate) use inbound_loan::InboundLoan;
pub(crate) use instance_slots::InstanceSlots;
pub(crate) use inventory::Inventory;
pub(crate) use ledger::Ledger;
pub(crate) use outbound_loan::OutboundLoan;
pub(crate) use peer_holdings::PeerHoldings;
