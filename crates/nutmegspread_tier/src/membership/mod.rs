//! Which nodes there are, and what each of them does for the others.

mod member_record;
mod member_settings;
mod member_view;
mod read_urgency;
mod store_contact;
mod watch_role;

pub use member_record::MemberRecord;
pub use member_settings::MemberSettings;
pub use member_view::MemberView;
pub use read_urgency::ReadUrgency;
pub use store_contact::{ContactSettings, StoreContact};
pub use watch_role::WatchRole;
