//! The operators' HTTP interface, apart from the callers' one.

mod operator_listener;

pub use operator_listener::operator_router;
