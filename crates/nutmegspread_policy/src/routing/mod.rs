//! The immutable view by which traffic is routed.

mod routing_view;
mod service_view;
mod target_share;
mod target_view;

pub use routing_view::RoutingView;
pub use service_view::{ServiceView, VersionView};
pub use target_share::TargetShare;
pub use target_view::TargetView;
