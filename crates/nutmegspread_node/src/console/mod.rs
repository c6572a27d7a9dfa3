//! The operators' console: web pages on which operators see the state of the nodes and edit the
//! configuration document.
//!
//! Apart from the router and its sessions, the modules compute pages from the node's state and a
//! submitted form. The form itself contains the draft of the document, so that any node can process
//! the next submission.

mod console_draft;
mod console_form;
mod console_handles;
mod console_outcome;
mod console_page;
mod console_reply;
mod console_router;
mod console_state;
mod draft_edit;
mod field_input;
mod field_kind;
mod field_spec;
mod form_action;
mod operator_session;
mod page_frame;
mod review_page;
mod section_page;
mod serving_page;
mod status_page;
mod utc_time;

pub use console_form::ConsoleForm;
pub use console_handles::{ApplyFuture, ConsoleHandles, StateFuture};
pub use console_outcome::ConsoleOutcome;
pub use console_page::ConsolePage;
pub use console_reply::{ConsoleReply, answer_form, show_outcome, show_page};
pub use console_router::console_router;
pub use console_state::{ConsoleState, CoverageLine, NodeLine};
