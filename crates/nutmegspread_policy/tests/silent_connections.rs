//! Tests that a stalled connection is replaced and that its target is used again once it replies.

mod query_support;

#[test]
fn scripts() {
    query_support::target_script::run_target_scripts("silent_connections");
}
