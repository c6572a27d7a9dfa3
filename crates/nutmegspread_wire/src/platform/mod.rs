//! Client of the platform's object API: versioned objects, conditional updates and watches.

mod object_kind;
mod object_list;
mod platform_client;
mod platform_error;
mod platform_settings;
mod platform_watch;
mod response_body;
mod unreadable_object;
mod watch_event;

pub use object_kind::ObjectKind;
pub use object_list::ObjectList;
pub use platform_client::PlatformClient;
pub use platform_error::PlatformError;
pub use platform_settings::PlatformSettings;
pub use platform_watch::PlatformWatch;
pub use unreadable_object::UnreadableObject;
pub use watch_event::WatchEvent;
