//! Tests the searcher stand-in over its HTTP interface.

use nutmegspread_model::{OrderReply, SearchReply, SearchRequest, TargetState};
use nutmegspread_standin::searcher::{
    BodyFault, FaultChange, FaultSettings, SearcherCounters, SearcherSettings, SearcherStandin,
    merged_hits, shard_hits,
};
use std::time::Duration;
use tokio::time::{sleep, timeout};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const STALL_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_BODY_BYTES: usize = 1 << 20;

fn fast_settings() -> SearcherSettings {
    SearcherSettings {
        median_service_time: Duration::from_millis(1),
        connection_cost: Duration::ZERO,
        ..Default::default()
    }
}

async fn start_standin(settings: SearcherSettings) -> SearcherStandin {
    SearcherStandin::start(settings).await.expect("a free port")
}

fn search_request(request: &str) -> SearchRequest {
    SearchRequest {
        request_id: request.into(),
        attempt: 7,
        snapshot: 3,
        shard: 2,
        route: "lookup".into(),
        query: "brass".into(),
        k: 5,
        remaining_ms: 60_000,
    }
}

async fn post_search(
    client: &reqwest::Client,
    standin: &SearcherStandin,
    request: &SearchRequest,
) -> reqwest::Result<reqwest::Response> {
    let url = format!("http://{}/v1/search", standin.address());
    client.post(url).json(request).send().await
}

#[tokio::test]
async fn a_search_is_answered_with_the_hits_of_its_shard() {
    let standin = start_standin(fast_settings()).await;
    let client = reqwest::Client::new();
    let response = post_search(&client, &standin, &search_request("r1"))
        .await
        .expect("an answer");
    assert_eq!(response.headers()["x-request-id"], "r1");
    assert_eq!(response.headers()["x-attempt-id"], "7");
    assert_eq!(response.headers()["x-snapshot"], "3");
    assert_eq!(response.headers()["x-target-state"], "warm");
    assert_eq!(response.headers()["x-incarnation"], "1");
    let reply: SearchReply = response.json().await.expect("a reply");
    assert_eq!(reply.hits, shard_hits(3, 2, "brass", 32, 5));
    assert!(standin.has_started("r1") && !standin.has_started("r2"));
    standin.close().await;
}

#[test]
fn merged_hits_are_the_best_of_all_shards() {
    let merged = merged_hits(3, 0..4, "brass", 32, 5);
    let mut all: Vec<_> = (0..4)
        .flat_map(|shard| shard_hits(3, shard, "brass", 32, 32))
        .collect();
    all.sort_by(|a, b| b.score.total_cmp(&a.score));
    assert_eq!(merged, all[..5]);
    assert_ne!(merged, merged_hits(4, 0..4, "brass", 32, 5));
}

#[tokio::test]
async fn requests_above_the_slots_are_shed_before_they_start() {
    let settings = SearcherSettings {
        slots: 2,
        median_service_time: Duration::from_secs(30),
        ..fast_settings()
    };
    let standin = start_standin(settings).await;
    let client = reqwest::Client::new();
    let address = standin.address();
    let running: Vec<_> = (0..2)
        .map(|number| {
            let client = client.clone();
            tokio::spawn(async move {
                let url = format!("http://{address}/v1/search");
                client
                    .post(url)
                    .json(&search_request(&format!("r{number}")))
                    .send()
                    .await
            })
        })
        .collect();
    while standin.counters().running < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    let response = post_search(&client, &standin, &search_request("extra"))
        .await
        .expect("an answer");
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["x-target-state"], "shed");
    assert!(!standin.has_started("extra"));
    for task in running {
        task.abort();
    }
    while standin.counters().cancelled < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(standin.counters().running, 0);
    assert_eq!(standin.counters().max_concurrent, 3);
    standin.close().await;
}

#[tokio::test]
async fn a_cold_searcher_warms_by_completed_work_and_can_turn_cold_again() {
    let settings = SearcherSettings {
        starts_cold: true,
        warm_after: 3,
        ..fast_settings()
    };
    let standin = start_standin(settings).await;
    let client = reqwest::Client::new();
    let mut states = Vec::new();
    for _ in 0..4 {
        let response = post_search(&client, &standin, &search_request("r"))
            .await
            .expect("an answer");
        states.push(response.json::<SearchReply>().await.expect("a reply").state);
    }
    use TargetState::{Cold, Warm};
    assert_eq!(states, [Cold, Cold, Warm, Warm]);
    standin.faults().turn_cold();
    let response = post_search(&client, &standin, &search_request("r"))
        .await
        .expect("an answer");
    assert_eq!(response.headers()["x-incarnation"], "2");
    assert_eq!(response.headers()["x-target-state"], "cold");
    assert_eq!(standin.counters().max_cold_concurrent, 1);
    standin.close().await;
}

#[tokio::test]
async fn requests_for_an_absent_snapshot_or_past_their_deadline_are_rejected() {
    let settings = SearcherSettings {
        snapshots: [4].into(),
        ..fast_settings()
    };
    let standin = start_standin(settings).await;
    let client = reqwest::Client::new();
    let gone_response = post_search(&client, &standin, &search_request("r1"))
        .await
        .expect("an answer");
    assert_eq!(gone_response.status(), 410);
    let expired = SearchRequest {
        snapshot: 4,
        remaining_ms: 0,
        ..search_request("r2")
    };
    let expired_response = post_search(&client, &standin, &expired)
        .await
        .expect("an answer");
    assert_eq!(expired_response.status(), 504);
    assert_eq!(standin.counters().started, 0);
    standin.close().await;
}

#[tokio::test]
async fn orders_run_once_per_call_and_are_counted_by_key() {
    let standin = start_standin(fast_settings()).await;
    let client = reqwest::Client::new();
    let url = format!("http://{}/v1/orders", standin.address());
    for expected in 1..=2 {
        let request = client
            .post(&url)
            .header("idempotency-key", "k1")
            .body("cut");
        let reply: OrderReply = request
            .send()
            .await
            .expect("an answer")
            .json()
            .await
            .expect("a reply");
        assert_eq!(reply.result, format!("done k1 {expected}"));
    }
    assert_eq!(standin.counters().executions["k1"], 2);
    standin.close().await;
}

#[tokio::test]
async fn connections_above_the_limit_are_refused() {
    let settings = SearcherSettings {
        connections: 1,
        ..fast_settings()
    };
    let standin = start_standin(settings).await;
    let first = reqwest::Client::new();
    post_search(&first, &standin, &search_request("r1"))
        .await
        .expect("an answer");
    let second = reqwest::Client::new();
    assert!(
        post_search(&second, &standin, &search_request("r2"))
            .await
            .is_err()
    );
    assert_eq!(standin.counters().max_connections, 1);
    assert!(standin.counters().refused_connections > 0);
    standin.close().await;
}

#[tokio::test]
async fn silenced_connections_stall_while_new_ones_work() {
    let standin = start_standin(fast_settings()).await;
    let old = reqwest::Client::new();
    post_search(&old, &standin, &search_request("r1"))
        .await
        .expect("an answer");
    standin.faults().silence_connections();
    assert!(
        timeout(
            STALL_TIMEOUT,
            post_search(&old, &standin, &search_request("r2"))
        )
        .await
        .is_err()
    );
    let new = reqwest::Client::new();
    let answer = timeout(
        ANSWER_TIMEOUT,
        post_search(&new, &standin, &search_request("r3")),
    )
    .await;
    assert!(answer.expect("in time").is_ok());
    assert!(!standin.has_started("r2"));
    standin.close().await;
}

/// Reads a body to its end and returns how it ended.
///
/// Reading stops after `MAX_BODY_BYTES`; the body then counts as endless.
async fn read_body_ending(mut response: reqwest::Response) -> &'static str {
    let mut bytes = Vec::new();
    while bytes.len() < MAX_BODY_BYTES {
        match response.chunk().await {
            Err(_) => return "broken",
            Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
            Ok(None) if serde_json::from_slice::<SearchReply>(&bytes).is_err() => return "garbage",
            Ok(None) => return "whole",
        }
    }
    "endless"
}

#[tokio::test]
async fn each_body_fault_breaks_the_body_in_its_own_way() {
    let standin = start_standin(fast_settings()).await;
    let client = reqwest::Client::new();
    let mut outcomes = Vec::new();
    for body in [BodyFault::Truncated, BodyFault::Garbage, BodyFault::Endless] {
        standin.faults().set(FaultSettings {
            body,
            ..Default::default()
        });
        let response = post_search(&client, &standin, &search_request("r1"))
            .await
            .expect("a head");
        outcomes.push(read_body_ending(response).await);
    }
    assert_eq!(outcomes, ["broken", "garbage", "endless"]);
    standin.close().await;
}

#[tokio::test]
async fn body_faults_change_the_ids_or_the_snapshot_of_replies() {
    let standin = start_standin(fast_settings()).await;
    let client = reqwest::Client::new();
    let faults = FaultSettings {
        body: BodyFault::CrossedIds,
        ..Default::default()
    };
    standin.faults().set(faults);
    let crossed = post_search(&client, &standin, &search_request("r1"))
        .await
        .expect("an answer");
    assert_eq!(crossed.headers()["x-request-id"], "r1-other");
    let faults = FaultSettings {
        body: BodyFault::WrongSnapshot,
        ..Default::default()
    };
    standin.faults().set(faults);
    let other = post_search(&client, &standin, &search_request("r1"))
        .await
        .expect("an answer");
    let reply: SearchReply = other.json().await.expect("a reply");
    assert_eq!(reply.snapshot, 4);
    assert_eq!(reply.hits, shard_hits(4, 2, "brass", 32, 5));
    standin.close().await;
}

#[tokio::test]
async fn faults_on_one_route_are_set_over_http() {
    let settings = SearcherSettings {
        control_listen: Some("127.0.0.1:0".into()),
        ..fast_settings()
    };
    let standin = start_standin(settings).await;
    let client = reqwest::Client::new();
    let control = format!(
        "http://{}/standin",
        standin.control_address().expect("a listener")
    );
    let faults = FaultSettings {
        shed_all: true,
        route: Some("quote".into()),
        ..Default::default()
    };
    let change = FaultChange {
        settings: Some(faults),
        ..Default::default()
    };
    let response = client
        .post(format!("{control}/faults"))
        .json(&change)
        .send()
        .await;
    assert_eq!(response.expect("an answer").status(), 204);
    let lookup = post_search(&client, &standin, &search_request("r1"))
        .await
        .expect("an answer");
    let request = SearchRequest {
        route: "quote".into(),
        ..search_request("r2")
    };
    let quote = post_search(&client, &standin, &request)
        .await
        .expect("an answer");
    assert_eq!(
        [lookup.status().as_u16(), quote.status().as_u16()],
        [200, 503]
    );
    let counters: SearcherCounters = client
        .get(format!("{control}/counters"))
        .send()
        .await
        .expect("an answer")
        .json()
        .await
        .expect("counters");
    assert_eq!(
        (counters.started, counters.shed, counters.connections),
        (1, 1, 1)
    );
    let invalid_response = client
        .post(format!("{control}/faults"))
        .body("{\"slow\":1}")
        .send()
        .await;
    assert_eq!(invalid_response.expect("an answer").status(), 400);
    standin.close().await;
}
