//! Which nodes there are, and what each of them does for the others.

mod advertised_nodes;
mod common_shares;
mod fleet_place;
mod followed_tables;
mod heard_member;
mod member_ranking;
mod member_record;
mod member_settings;
mod member_table;
mod member_view;
mod read_urgency;
mod store_contact;
mod table_copy;
mod usage_receiver;
mod watch_duty;
mod watch_ranking;
mod watch_role;

pub use fleet_place::FleetPlace;
pub use member_record::MemberRecord;
pub use member_settings::MemberSettings;
pub use member_table::{MemberTable, TableChanges};
pub use member_view::MemberView;
pub use read_urgency::ReadUrgency;
pub use store_contact::{ContactSettings, StoreContact};
pub use watch_role::WatchRole;
