//! Operator commands, which every entry accepts and writes to the table service.

mod config;
mod failure;
mod handler;
mod view;

pub(crate) use handler::CommandHandler;
