//! Operators' commands, which any entry takes and writes to the table service.

mod config;
mod failure;
mod handler;
mod view;

pub(crate) use handler::Operator;
