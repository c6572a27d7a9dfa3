//! HTTP interface for operators, which has a listener of its own.

mod console_access;
mod operator_listener;

pub use operator_listener::operator_router;
