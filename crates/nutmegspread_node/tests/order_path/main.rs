//! Orders through whole nodes on loopback: repeats, races, outages and lost answers.

mod order_world;

use nutmegspread_model::{RefusalReason, RunState};
use nutmegspread_standin::platform::FaultSettings;
use order_world::{OrderEnding, OrderWorld};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_repeat_gets_the_recorded_result_from_any_node() {
    let world = OrderWorld::start(2).await;
    let first = world.order(0, "k1", "urn").await.expect("it runs");
    assert!(!first.repeated);
    world.wait_recorded(1).await;
    for node in [0, 1] {
        let repeat = world
            .order(node, "k1", "urn")
            .await
            .expect("the recorded result");
        assert!(repeat.repeated);
        assert_eq!(repeat.result, first.result);
    }
    let reused = world
        .order(1, "k1", "another urn")
        .await
        .expect_err("the key is taken");
    assert_eq!(
        (reused.reason, reused.run),
        (RefusalReason::KeyReused, RunState::NotRun)
    );
    assert_eq!(world.executions("k1"), 1);
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_nodes_run_a_key_once() {
    let world = OrderWorld::start(3).await;
    for round in 0..20 {
        let key = format!("race-{round}");
        let calls = [0, 1, 2].map(|node| world.order(node, &key, "urn"));
        let [first, second, third] = calls;
        let endings = tokio::join!(first, second, third);
        let endings = [endings.0, endings.1, endings.2];
        assert!(
            endings
                .iter()
                .any(|ending| matches!(ending, Ok(answer) if !answer.repeated))
        );
        assert_eq!(world.executions(&key), 1, "{endings:?}");
    }
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_outage_refuses_truly_and_passes() {
    let world = OrderWorld::start(1).await;
    let ran = world.order(0, "before", "urn").await.expect("it runs");
    world.platform.faults().update(|faults| faults.down = true);
    let refused = world
        .order(0, "during", "urn")
        .await
        .expect_err("no claim can be made");
    assert_eq!(
        (refused.reason, refused.run),
        (RefusalReason::PlatformUnavailable, RunState::NotRun)
    );
    assert_eq!(world.executions("during"), 0);
    let repeat = world
        .order(0, "before", "urn")
        .await
        .expect("the known result");
    assert_eq!((repeat.result, repeat.repeated), (ran.result, true));
    world.platform.faults().set(FaultSettings::default());
    world.order_until_run(0, "during").await;
    assert_eq!(world.executions("during"), 1);
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_answers_of_claims_are_resolved() {
    let world = OrderWorld::start(2).await;
    for round in 0..10 {
        world
            .platform
            .faults()
            .update(|faults| faults.lose_answers = 1);
        let key = format!("lost-{round}");
        let ending = world.order(round % 2, &key, "urn").await;
        assert!(ending.is_ok(), "{ending:?}");
        assert_eq!(world.executions(&key), 1);
    }
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn shedding_targets_leave_the_key_free() {
    let world = OrderWorld::start(1).await;
    world.shed(true);
    let refused = world
        .order(0, "k1", "urn")
        .await
        .expect_err("every target sheds");
    assert_eq!(
        (refused.reason, refused.run),
        (RefusalReason::NoTarget, RunState::NotRun)
    );
    world.shed(false);
    world.order_until_run(0, "k1").await;
    assert_eq!(world.executions("k1"), 1);
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_orders_name_what_is_wrong() {
    let world = OrderWorld::start(1).await;
    let long = "x".repeat(129);
    for (key, reason) in [
        ("", RefusalReason::BadRequest),
        (long.as_str(), RefusalReason::BadRequest),
        ("with space", RefusalReason::BadRequest),
    ] {
        let refused = world
            .order(0, key, "urn")
            .await
            .expect_err("the key is bad");
        assert_eq!((refused.reason, refused.run), (reason, RunState::NotRun));
        assert!(
            refused.message.contains("Idempotency-Key"),
            "{}",
            refused.message
        );
    }
    let day = Duration::from_secs(25 * 3600);
    let ending: OrderEnding = world.order_issued(0, "old", "urn", day).await;
    let refused = ending.expect_err("the key is too old");
    assert_eq!(
        (refused.reason, refused.run),
        (RefusalReason::KeyExpired, RunState::NotRun)
    );
    assert_eq!(world.executions("old"), 0);
    world.close().await;
}
