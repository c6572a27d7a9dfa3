//! The course of gathers and single requests, step by step.

use nutmegspread_tier::*;
use std::time::Duration;

/// A chooser over `replicas` targets a service, in order, with `extras` allowed extra sends.
struct ScriptChooser {
    replicas: u64,
    extras: u32,
    without: Vec<usize>,
}

impl Default for ScriptChooser {
    fn default() -> Self {
        Self {
            replicas: 2,
            extras: 100,
            without: Vec::new(),
        }
    }
}

impl AttemptChooser for ScriptChooser {
    fn choose(&mut self, service: usize, tried: &[TargetKey]) -> Option<TargetKey> {
        if self.without.contains(&service) {
            return None;
        }
        let first = service as u64 * 10;
        (first..first + self.replicas).find(|key| !tried.contains(key))
    }

    fn allow(&mut self, _service: usize, _reason: AttemptReason) -> bool {
        let is_allowed = self.extras > 0;
        self.extras = self.extras.saturating_sub(1);
        is_allowed
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn timing() -> AnswerTiming {
    AnswerTiming {
        hedge: millis(20),
        answer: millis(86),
        end: millis(1486),
    }
}

fn gather(shards: usize, least: usize) -> GatherRun {
    GatherRun::new(timing(), RepeatRule::Idempotent, 2, shards, least)
}

fn keys(sends: &[GatherAttempt]) -> Vec<(usize, u64, AttemptReason)> {
    sends
        .iter()
        .map(|send| (send.service, send.target, send.reason))
        .collect()
}

#[test]
fn a_whole_answer_goes_out_at_once() {
    let mut run = gather(3, 2);
    assert_eq!(run.start(&mut ScriptChooser::default()).len(), 3);
    for service in 0..3 {
        assert_eq!(run.progress(millis(5)), GatherProgress::Wait(millis(20)));
        assert!(run.finish(millis(5), service, AttemptOutcome::Answered));
    }
    assert_eq!(run.progress(millis(5)), GatherProgress::Answer);
}

#[test]
fn a_slow_shard_gets_one_second_send_and_is_left_out_at_the_objective() {
    let mut chooser = ScriptChooser::default();
    let mut run = gather(3, 2);
    run.start(&mut chooser);
    run.finish(millis(9), 0, AttemptOutcome::Answered);
    run.finish(millis(9), 1, AttemptOutcome::Answered);
    assert!(run.due_attempts(millis(19), &mut chooser).is_empty());
    assert_eq!(
        keys(&run.due_attempts(millis(20), &mut chooser)),
        [(2, 21, AttemptReason::Hedge)]
    );
    assert!(
        run.due_attempts(millis(40), &mut chooser).is_empty(),
        "two attempts are the bound"
    );
    assert_eq!(run.progress(millis(85)), GatherProgress::Wait(millis(86)));
    assert_eq!(run.progress(millis(86)), GatherProgress::Answer);
    assert_eq!(run.answered(), 2);
}

#[test]
fn too_little_coverage_waits_beyond_the_objective_and_answers_with_the_first_part_that_suffices() {
    let mut run = gather(3, 3);
    run.start(&mut ScriptChooser::default());
    run.finish(millis(9), 0, AttemptOutcome::Answered);
    run.finish(millis(9), 1, AttemptOutcome::Answered);
    assert!(matches!(run.progress(millis(500)), GatherProgress::Wait(_)));
    run.finish(millis(600), 2, AttemptOutcome::Answered);
    assert_eq!(run.progress(millis(600)), GatherProgress::Answer);
}

#[test]
fn a_gather_without_enough_targets_sends_nothing() {
    let mut chooser = ScriptChooser {
        without: vec![0, 1],
        ..Default::default()
    };
    let mut run = gather(3, 2);
    assert!(run.start(&mut chooser).is_empty());
    assert_eq!(run.progress(millis(0)), GatherProgress::Refuse);
}

#[test]
fn a_part_that_failed_twice_is_given_up_at_once() {
    let mut chooser = ScriptChooser::default();
    let mut run = gather(2, 2);
    run.start(&mut chooser);
    run.finish(millis(3), 0, AttemptOutcome::Answered);
    run.finish(millis(3), 1, AttemptOutcome::Failed);
    assert_eq!(
        keys(&run.due_attempts(millis(3), &mut chooser)),
        [(1, 11, AttemptReason::Retry)]
    );
    run.finish(millis(6), 1, AttemptOutcome::Failed);
    assert_eq!(run.progress(millis(6)), GatherProgress::Fail);
}

#[test]
fn a_gather_with_nothing_more_to_come_does_not_wait_for_the_objective() {
    let mut chooser = ScriptChooser {
        without: vec![2],
        ..Default::default()
    };
    let mut run = gather(3, 2);
    run.start(&mut chooser);
    run.finish(millis(8), 0, AttemptOutcome::Answered);
    run.finish(millis(8), 1, AttemptOutcome::Answered);
    assert_eq!(run.progress(millis(8)), GatherProgress::Answer);
}

#[test]
fn a_second_answer_of_a_shard_counts_once() {
    let mut chooser = ScriptChooser::default();
    let mut run = gather(2, 2);
    run.start(&mut chooser);
    assert_eq!(run.due_attempts(millis(20), &mut chooser).len(), 2);
    assert!(run.finish(millis(30), 0, AttemptOutcome::Answered));
    assert!(!run.finish(millis(31), 0, AttemptOutcome::Answered));
    assert_eq!(run.answered(), 1);
}

#[test]
fn a_shed_send_goes_elsewhere_and_is_no_attempt() {
    let mut chooser = ScriptChooser::default();
    let mut run = gather(1, 1);
    run.start(&mut chooser);
    run.finish(millis(2), 0, AttemptOutcome::NotRun);
    assert_eq!(
        keys(&run.due_attempts(millis(2), &mut chooser)),
        [(0, 1, AttemptReason::Retry)]
    );
    run.finish(millis(4), 0, AttemptOutcome::NotRun);
    assert!(
        run.due_attempts(millis(4), &mut chooser).is_empty(),
        "a pause before the round starts anew"
    );
    assert!(matches!(run.progress(millis(4)), GatherProgress::Wait(_)));
    assert_eq!(run.due_attempts(millis(19), &mut chooser).len(), 1);
}

#[test]
fn a_request_that_runs_at_most_once_is_never_sent_again_after_it_may_have_run() {
    let mut chooser = ScriptChooser {
        replicas: 5,
        ..Default::default()
    };
    for outcome in [AttemptOutcome::Failed, AttemptOutcome::Answered] {
        let mut run = GatherRun::new(timing(), RepeatRule::AtMostOnce, 3, 1, 1);
        run.start(&mut chooser);
        assert!(
            run.due_attempts(millis(1000), &mut chooser).is_empty(),
            "no second send on suspicion"
        );
        run.finish(millis(1000), 0, outcome);
        assert!(run.due_attempts(millis(1001), &mut chooser).is_empty());
        assert!(run.due_attempts(millis(1400), &mut chooser).is_empty());
    }
    let mut run = GatherRun::new(timing(), RepeatRule::AtMostOnce, 3, 1, 1);
    run.start(&mut chooser);
    run.finish(millis(2), 0, AttemptOutcome::NotRun);
    assert_eq!(
        run.due_attempts(millis(2), &mut chooser).len(),
        1,
        "what did not run may go elsewhere"
    );
}

#[test]
fn an_empty_budget_delays_a_second_send() {
    let mut chooser = ScriptChooser {
        extras: 0,
        ..Default::default()
    };
    let mut run = gather(2, 2);
    run.start(&mut chooser);
    assert!(run.due_attempts(millis(20), &mut chooser).is_empty());
    chooser.extras = 1;
    assert!(run.due_attempts(millis(29), &mut chooser).is_empty());
    assert_eq!(run.due_attempts(millis(30), &mut chooser).len(), 1);
}

#[test]
fn the_time_is_up_before_the_deadline() {
    let mut chooser = ScriptChooser::default();
    let mut run = gather(2, 2);
    run.start(&mut chooser);
    assert_eq!(run.progress(millis(1486)), GatherProgress::TimeOut);
    assert!(run.due_attempts(millis(1486), &mut chooser).is_empty());
}

#[test]
fn the_least_parts_round_as_a_reader_of_the_answer_does() {
    let rule = |shards: usize, least_coverage: f64| {
        let shards = (0..shards).map(|shard| shard.to_string().into()).collect();
        GatherRule {
            shards,
            top: 5,
            least_coverage,
        }
        .least_parts()
    };
    let parts = [
        rule(20, 0.89),
        rule(20, 0.75),
        rule(90, 0.95),
        rule(1, 0.0),
        rule(4, 1.0),
        rule(10, 0.7),
    ];
    assert_eq!(parts, [18, 15, 86, 1, 4, 7]);
}

#[test]
fn timing_leaves_room_for_the_way_back() {
    let mut latencies = LatencyWindow::default();
    let settings = TimingSettings::default();
    let unknown = AnswerTiming::new(&settings, &latencies, millis(100), millis(1500));
    assert_eq!(unknown.answer, millis(82));
    for sample in 0..200 {
        latencies.add(Duration::from_micros(8000 + 50 * sample));
    }
    let known = AnswerTiming::new(&settings, &latencies, millis(100), millis(1500));
    assert!(
        known.hedge > millis(17) && known.hedge < millis(25),
        "{known:?}"
    );
    let short = AnswerTiming::new(&settings, &latencies, millis(100), millis(40));
    assert!(
        short.answer <= short.end && short.end <= millis(30),
        "{short:?}"
    );
}
