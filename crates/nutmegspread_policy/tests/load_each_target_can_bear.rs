//! A target gets no more requests and connections than the node's share of its limits.

mod query_support;

use query_support::target_history::check_target_history;

#[test]
fn scripts() {
    query_support::target_script::run_target_scripts("load_each_target_can_bear");
}

/// Shares, replies, failures, cancellations and reports in any order: slots, connections, the
/// queue and the cold allowance are never exceeded, and every ticket ends exactly once.
#[test]
fn limits_hold_in_generated_histories() {
    let (mut cold_sends, mut warm_sends, mut taken_back) = (0, 0, 0);
    for seed in 0..2000 {
        let books = check_target_history(seed);
        cold_sends += books.cold_sends;
        warm_sends += books.warm_sends;
        taken_back += books.taken_back;
    }
    assert!(
        cold_sends > 10_000,
        "only {cold_sends} sends to cold targets"
    );
    assert!(
        warm_sends > 10_000,
        "only {warm_sends} sends to warm targets"
    );
    assert!(
        taken_back > 100,
        "only {taken_back} sent anew after silence"
    );
}
