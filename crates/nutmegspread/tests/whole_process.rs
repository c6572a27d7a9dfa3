//! Tests of the demo deployment, whole nodes with stand-ins on loopback: queries, configuration
//! changes, a planned stop and faults.

use nutmegspread::command::{
    DEMO_DOMAINS, DEMO_SERVICES, DEMO_TOKEN, DemoWorld, OperatorClient, wait_until_applied,
};
use nutmegspread::{CommandError, command};
use nutmegspread_model::{
    AddressAnswer, HealthVerdict, ObjectMetadata, PlatformObject, QueryAnswer, QueryRequest,
    ServingState, VerdictRecord,
};
use nutmegspread_standin::platform::FaultSettings;
use nutmegspread_wire::platform::{ObjectKind, PlatformClient, PlatformSettings};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn query(http: &reqwest::Client, address: &str) -> Result<QueryAnswer, String> {
    let request = QueryRequest {
        route: "search".into(),
        query: "bronze plate".into(),
        k: 5,
        deadline_ms: None,
    };
    let url = format!("http://{address}/v1/services/{}/query", DEMO_SERVICES[0]);
    let sent = http.post(url).json(&request).send().await;
    let response = sent.map_err(|error| format!("{error:?}"))?;
    let text = response
        .text()
        .await
        .map_err(|error| format!("{error:?}"))?;
    serde_json::from_str(&text).map_err(|_| text)
}

/// Starts the demo deployment, applies its configuration and waits until every node answers with full
/// coverage and the targets of the queried service are warm.
async fn start_deployment() -> (DemoWorld, OperatorClient) {
    let world = DemoWorld::start()
        .await
        .expect("the demo deployment starts");
    let operator_client =
        OperatorClient::new(&world.nodes[0].operator_address().to_string(), DEMO_TOKEN);
    let revision = operator_client
        .apply(&world.document(), 0)
        .await
        .expect("the document is accepted");
    wait_until_applied(&operator_client, revision, TIMEOUT)
        .await
        .expect("every node applies the document");
    let http = reqwest::Client::new();
    for node in &world.nodes {
        let address = node.caller_address().to_string();
        wait_until(|| async {
            query(&http, &address)
                .await
                .is_ok_and(|answer| answer.coverage.is_complete())
        })
        .await;
    }
    warm_up(&world).await;
    (world, operator_client)
}

/// Sends queries until every target of the queried service is warm.
async fn warm_up(world: &DemoWorld) {
    let http = reqwest::Client::new();
    let address = world.nodes[0].caller_address().to_string();
    let warm_after = u64::from(nutmegspread_model::TargetLimits::default().warm_after);
    wait_until(|| async {
        for _ in 0..10 {
            let _ = query(&http, &address).await;
        }
        let mut searchers = world.searchers.iter();
        searchers.all(|searcher| {
            searcher.service != DEMO_SERVICES[0]
                || searcher.standin.counters().completed > 2 * warm_after
        })
    })
    .await;
}

async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    let wait = tokio::time::timeout(TIMEOUT, async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    wait.await.expect("the condition holds before the timeout");
}

/// Sends queries to the advertised nodes in turn until `stop` is set; returns a line for each failure.
/// As callers do, it looks up addresses on a node and keeps them for the time in the answer.
async fn run_caller(
    lookup_address: String,
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
) -> Vec<String> {
    let http = reqwest::Client::new();
    let mut failures = Vec::new();
    let mut query_count = 0;
    while !stop.load(Ordering::Acquire) {
        let url = format!("http://{lookup_address}/v1/addresses");
        let answer: AddressAnswer = http
            .get(url)
            .send()
            .await
            .expect("an answer")
            .json()
            .await
            .expect("addresses");
        let keep_until = tokio::time::Instant::now() + answer.keep_for;
        while tokio::time::Instant::now() < keep_until && !stop.load(Ordering::Acquire) {
            query_count += 1;
            let address = &answer.addresses[query_count % answer.addresses.len()].address;
            match query(&http, address).await {
                Ok(answer) if answer.coverage.is_complete() => {
                    answered.fetch_add(1, Ordering::AcqRel);
                }
                Ok(answer) => failures.push(format!("{:?}", answer.coverage)),
                Err(failure) => failures.push(failure),
            }
        }
    }
    failures
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_under_load_cuts_no_request() {
    let (mut world, _operator_client) = start_deployment().await;
    let stopping_node = world.nodes.pop().expect("three nodes");
    let lookup_address = world.nodes[0].caller_address().to_string();
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    let caller = tokio::spawn(run_caller(
        lookup_address,
        Arc::clone(&stop),
        Arc::clone(&answered),
    ));
    wait_until(|| async { answered.load(Ordering::Acquire) > 20 }).await;
    assert!(
        stopping_node.close().await,
        "every request ended before the stop limit"
    );
    let answered_before = answered.load(Ordering::Acquire);
    wait_until(|| async { answered.load(Ordering::Acquire) > answered_before + 20 }).await;
    stop.store(true, Ordering::Release);
    assert_eq!(caller.await.expect("the caller ends"), Vec::<String>::new());
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn queries_are_answered_while_the_platform_is_down() {
    let (world, operator_client) = start_deployment().await;
    let faults = world.platform.faults();
    faults.set(FaultSettings {
        down: true,
        ..FaultSettings::default()
    });
    let http = reqwest::Client::new();
    for node in &world.nodes {
        let answer = query(&http, &node.caller_address().to_string())
            .await
            .expect("an answer");
        assert!(answer.coverage.is_complete());
    }
    let mut document = world.document();
    document
        .domains
        .entry(DEMO_DOMAINS[1].into())
        .or_default()
        .state = ServingState::Drained;
    let refused = operator_client
        .apply(&document, 1)
        .await
        .expect_err("the platform is down");
    assert!(
        matches!(refused, CommandError::Refused { status: 503, .. }),
        "{refused}"
    );
    faults.set(FaultSettings::default());
    let revision = operator_client
        .apply(&document, 1)
        .await
        .expect("the platform is back");
    wait_until_applied(&operator_client, revision, TIMEOUT)
        .await
        .expect("every node applies the document");
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unresponsive_connections_cost_no_coverage() {
    let (world, _operator_client) = start_deployment().await;
    for searcher in world.searchers.iter().step_by(2) {
        searcher.standin.faults().silence_connections();
    }
    let http = reqwest::Client::new();
    let address = world.nodes[0].caller_address().to_string();
    for _ in 0..20 {
        let answer = query(&http, &address).await.expect("an answer");
        assert!(answer.coverage.is_complete(), "{:?}", answer.coverage);
    }
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_concurrent_change_is_refused_with_the_difference() {
    let (world, operator_client) = start_deployment().await;
    let mut first = world.document();
    first
        .domains
        .entry(DEMO_DOMAINS[1].into())
        .or_default()
        .state = ServingState::Drained;
    let mut second = world.document();
    second
        .domains
        .entry(DEMO_DOMAINS[2].into())
        .or_default()
        .state = ServingState::Drained;
    assert_eq!(
        operator_client
            .apply(&first, 1)
            .await
            .expect("the first document is accepted"),
        2
    );
    let refused = operator_client
        .apply(&second, 1)
        .await
        .expect_err("the second document is based on revision 1");
    let CommandError::Refused { status: 409, body } = refused else {
        panic!("{refused}")
    };
    assert!(
        body.contains("domain-b") && body.contains("domain-c"),
        "{body}"
    );
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_verdict_reaches_nodes_that_do_not_watch_the_platform() {
    let (world, _operator_client) = start_deployment().await;
    let watch_count = 6 * 2;
    wait_until(|| async { world.platform.calls().watches_waiting == watch_count }).await;
    let down_searcher = &world.searchers[0];
    let settings = PlatformSettings {
        address: world.platform.address().to_string(),
        ..PlatformSettings::default()
    };
    let platform = PlatformClient::new(settings).expect("a client");
    let verdict = PlatformObject {
        kind: ObjectKind::Verdict.as_str().into(),
        metadata: ObjectMetadata {
            name: down_searcher.target.to_string(),
            ..ObjectMetadata::default()
        },
        spec: VerdictRecord {
            subject: down_searcher.target.to_string(),
            verdict: HealthVerdict::Down,
            sequence: 1,
            decided_at: std::time::SystemTime::now(),
        },
        status: serde_json::Value::Null,
    };
    platform
        .create(ObjectKind::Verdict, &verdict)
        .await
        .expect("the verdict is stored");
    let http = reqwest::Client::new();
    // No node sends searches to the target that is down.
    wait_until(|| async {
        let before = down_searcher.standin.counters().started;
        for node in &world.nodes {
            for _ in 0..10 {
                let _ = query(&http, &node.caller_address().to_string()).await;
            }
        }
        down_searcher.standin.counters().started == before
    })
    .await;
    world.close().await;
}

#[test]
fn a_broken_settings_file_names_file_line_and_field() {
    let folder = std::env::temp_dir().join(format!("nutmegspread-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("node.jsonc");
    let text = "{\n  // a comment\n  \"node\": \"n\",\n  \"operator_token\": \"long-enough\",\n  \
                \"traffic_threads\": 0,\n  \"colour\": \"red\"\n}\n";
    std::fs::write(&path, text).expect("a file");
    let flags = nutmegspread::flags::Serve { settings: path };
    let error = command::serve(&flags)
        .expect_err("the settings have two errors")
        .to_string();
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    assert!(
        error.contains("node.jsonc:5: traffic_threads: expected 1 to 64, found 0"),
        "{error}"
    );
    assert!(error.contains("node.jsonc:6: colour: expected"), "{error}");
}
