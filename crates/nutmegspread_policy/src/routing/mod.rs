//! The routing view: the immutable state that control publishes and traffic is routed by.

mod drain_table;
mod routing_view;
mod service_view;
mod snapshot_table;
mod target_share;
mod target_view;
mod view_builder;

pub use drain_table::DrainTable;
pub use routing_view::RoutingView;
pub use service_view::{ServiceView, VersionView};
pub use snapshot_table::{MapPair, SnapshotTable};
pub use target_share::TargetShare;
pub use target_view::TargetView;
pub use view_builder::{VersionMove, ViewSources, build_services};
