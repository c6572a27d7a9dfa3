//! Orders through whole nodes on loopback: repeated and concurrent orders, platform outages and lost
//! answers.

mod order_world;

use nutmegspread_model::{OrderReply, RefusalReason, RunState, TargetState};
use nutmegspread_standin::platform::FaultSettings;
use order_world::{OrderResult, OrderWorld};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_repeated_order_gets_the_recorded_result_from_any_node() {
    let world = OrderWorld::start(2).await;
    let first = world.order(0, "k1", "urn").await.expect("the order runs");
    assert!(!first.repeated);
    world.wait_recorded(1).await;
    for node in [0, 1] {
        let repeat = world
            .order(node, "k1", "urn")
            .await
            .expect("the recorded result is returned");
        assert!(repeat.repeated);
        assert_eq!(repeat.result, first.result);
    }
    let reused = world
        .order(1, "k1", "another urn")
        .await
        .expect_err("the key is in use for another order");
    assert_eq!(
        (reused.reason, reused.run),
        (RefusalReason::KeyReused, RunState::NotRun)
    );
    assert_eq!(world.executions("k1"), 1);
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_orders_with_one_key_run_once() {
    let world = OrderWorld::start(3).await;
    for round in 0..20 {
        let key = format!("race-{round}");
        let calls = [0, 1, 2].map(|node| world.order(node, &key, "urn"));
        let [first, second, third] = calls;
        let results = tokio::join!(first, second, third);
        let results = [results.0, results.1, results.2];
        assert!(
            results
                .iter()
                .any(|result| matches!(result, Ok(answer) if !answer.repeated))
        );
        assert_eq!(world.executions(&key), 1, "{results:?}");
    }
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_are_refused_unrun_during_a_platform_outage_and_run_after_it() {
    let world = OrderWorld::start(1).await;
    let ran = world
        .order(0, "before", "urn")
        .await
        .expect("the order runs");
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
        .expect("the recorded result is returned");
    assert_eq!((repeat.result, repeat.repeated), (ran.result, true));
    world.platform.faults().set(FaultSettings::default());
    world.order_until_run(0, "during").await;
    assert_eq!(world.executions("during"), 1);
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_succeed_when_the_platforms_answer_to_a_claim_is_lost() {
    let world = OrderWorld::start(2).await;
    for round in 0..10 {
        world
            .platform
            .faults()
            .update(|faults| faults.lose_answers = 1);
        let key = format!("lost-{round}");
        let result = world.order(round % 2, &key, "urn").await;
        assert!(result.is_ok(), "{result:?}");
        assert_eq!(world.executions(&key), 1);
    }
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_key_can_be_used_again_after_every_target_shed_its_order() {
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
async fn invalid_orders_are_refused_with_the_reason() {
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
            .expect_err("the key is invalid");
        assert_eq!((refused.reason, refused.run), (reason, RunState::NotRun));
        assert!(
            refused.message.contains("Idempotency-Key"),
            "{}",
            refused.message
        );
    }
    let key_age = Duration::from_secs(25 * 3600);
    let result: OrderResult = world.order_issued(0, "old", "urn", key_age).await;
    let refused = result.expect_err("the key is too old");
    assert_eq!(
        (refused.reason, refused.run),
        (RefusalReason::KeyExpired, RunState::NotRun)
    );
    assert_eq!(world.executions("old"), 0);
    world.close().await;
}

/// Starts a target that answers each order as if it had run it, but with another status for keys that begin
/// with one and a colon; returns its address and the keys of the orders that it got.
async fn start_target() -> (String, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let keys: Arc<Mutex<Vec<String>>> = Arc::default();
    let arrived = Arc::clone(&keys);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_orders(stream, Arc::clone(&arrived)));
        }
    });
    (address, keys)
}

async fn answer_orders(mut stream: TcpStream, keys: Arc<Mutex<Vec<String>>>) {
    let mut request = [0; 4096];
    while let Ok(read @ 1..) = stream.read(&mut request).await {
        let text = String::from_utf8_lossy(&request[..read]).into_owned();
        let mut lines = text.lines();
        // A body that arrives after its head has no such line.
        let Some(key) = lines.find_map(|line| line.strip_prefix("idempotency-key: ")) else {
            continue;
        };
        keys.lock().unwrap().push(key.to_owned());
        let status = key.split_once(':').map_or("200", |(status, _)| status);
        let reply = OrderReply {
            key: key.into(),
            state: TargetState::default(),
            result: "engraved".to_owned(),
        };
        let body = serde_json::to_string(&reply).unwrap();
        let fields = format!("x-target-state: shed\r\ncontent-length: {}", body.len());
        let answer = format!("HTTP/1.1 {status} OK\r\n{fields}\r\n\r\n{body}");
        // The node may have closed the connection.
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// Guards against a result, or a promise that the order has not run, from an answer with status 000.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_whose_answer_has_no_valid_status_has_an_unknown_outcome() {
    let world = OrderWorld::start(1).await;
    let (address, keys) = start_target().await;
    world.use_target(&address).await;
    for number in 0.. {
        if !keys.lock().unwrap().is_empty() {
            break;
        }
        // Until the node has applied the configuration, the order runs on an earlier target.
        let _ = world.order(0, &format!("wait-{number}"), "urn").await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for status in ["200", "000", "OOO", "600"] {
        let key = format!("{status}:k");
        for _ in 0..2 {
            let end = world.order(0, &key, "urn").await;
            let end = end
                .map(|answer| answer.result)
                .map_err(|refused| refused.run);
            let expected = match status {
                "200" => Ok("engraved".to_owned()),
                _ => Err(RunState::Unknown),
            };
            assert_eq!(end, expected, "{status}");
        }
        let sent = keys
            .lock()
            .unwrap()
            .iter()
            .filter(|sent| **sent == key)
            .count();
        assert_eq!(sent, 1, "{status}");
    }
    world.close().await;
}
