//! The operators' HTTP interface, apart from the callers' one.

mod console_access;
mod operator_listener;

pub use operator_listener::operator_router;
