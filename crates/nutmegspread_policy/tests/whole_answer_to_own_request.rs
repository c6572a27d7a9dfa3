//! Tests that each caller gets the whole answer to its own request, even if replies are late or
//! belong to other requests.

mod query_support;

use query_support::query_history::{QueryEnd, SEEDS, generate_history};

#[test]
fn scripts() {
    query_support::query_script::run_query_scripts("whole_answer_to_own_request");
}

#[test]
fn answers_equal_those_of_a_naive_merge() {
    let (mut complete, mut partial) = (0, 0);
    for seed in SEEDS {
        let history = generate_history(seed);
        for request in &history.requests {
            let (_, end, log) = history.end_of(&request.request_id);
            let QueryEnd::Answered(answer) = end else {
                continue;
            };
            let expected = history.naive_answer(request, &log, answer.snapshot);
            assert_eq!(answer, expected, "seed {seed}");
            if answer.coverage.is_complete() {
                complete += 1;
            } else {
                partial += 1;
            }
        }
    }
    assert!(
        complete > 1000 && partial > 1000,
        "{complete} complete, {partial} partial"
    );
}
