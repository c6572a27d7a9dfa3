//! Tests that a node uses no more slots and connections of a target than its share of the limits.

mod query_support;

use query_support::target_history::check_target_history;

#[test]
fn scripts() {
    query_support::target_script::run_target_scripts("load_each_target_can_bear");
}

/// With shares, replies, failures, cancellations and reports in random order, the limits of slots,
/// connections, queue and cold slots are never exceeded, and every ticket ends exactly once.
#[test]
fn limits_hold_in_generated_histories() {
    let (mut cold_sends, mut warm_sends, mut resends) = (0, 0, 0);
    for seed in 0..2000 {
        let model = check_target_history(seed);
        cold_sends += model.cold_sends;
        warm_sends += model.warm_sends;
        resends += model.resends;
    }
    assert!(
        cold_sends > 10_000,
        "only {cold_sends} requests to cold targets"
    );
    assert!(
        warm_sends > 10_000,
        "only {warm_sends} requests to warm targets"
    );
    assert!(resends > 100, "only {resends} requests were resent");
}
