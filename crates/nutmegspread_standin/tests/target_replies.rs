//! Tests which failure a target connection reports for each kind of faulty reply.

use nutmegspread_model::{RunState, SearchRequest, SubFailure};
use nutmegspread_standin::searcher::{BodyFault, FaultSettings, SearcherSettings, SearcherStandin};
use nutmegspread_wire::target::{ConnectionBounds, TargetConnection, TargetError};
use std::time::Duration;
use tokio::time::Instant;

const TIME_TO_DEADLINE: Duration = Duration::from_secs(30);

fn search_request() -> SearchRequest {
    SearchRequest {
        request_id: "request-1".into(),
        attempt: 7,
        snapshot: 3,
        shard: 2,
        route: "search".into(),
        query: "plate".into(),
        k: 4,
        remaining_ms: 30_000,
    }
}

async fn search_with_faults(
    faults: FaultSettings,
    bounds: ConnectionBounds,
) -> Result<u64, TargetError> {
    let standin = SearcherStandin::start(SearcherSettings::default())
        .await
        .expect("a port is free");
    standin.faults().set(faults);
    let address = standin.address().to_string();
    let mut connection = TargetConnection::open(&address, bounds).await?;
    let reply = connection
        .search(&search_request(), Instant::now() + TIME_TO_DEADLINE)
        .await;
    connection.close();
    standin.close().await;
    reply.map(|reply| reply.snapshot)
}

async fn failure_with(body: BodyFault) -> (SubFailure, RunState) {
    let faults = FaultSettings {
        body,
        ..FaultSettings::default()
    };
    let error = search_with_faults(faults, ConnectionBounds::default())
        .await
        .expect_err("a fault");
    (error.failure(), error.run())
}

#[tokio::test]
async fn a_correct_reply_is_accepted() {
    let faults = FaultSettings::default();
    let snapshot = search_with_faults(faults, ConnectionBounds::default())
        .await
        .expect("a reply");
    assert_eq!(snapshot, 3);
}

#[tokio::test]
async fn requests_with_a_faulty_reply_may_have_run() {
    let unknown = RunState::Unknown;
    assert_eq!(
        failure_with(BodyFault::Garbage).await,
        (SubFailure::BadReply, unknown)
    );
    assert_eq!(
        failure_with(BodyFault::Endless).await,
        (SubFailure::BadReply, unknown)
    );
    assert_eq!(
        failure_with(BodyFault::CrossedIds).await,
        (SubFailure::BadReply, unknown)
    );
    assert_eq!(
        failure_with(BodyFault::Truncated).await,
        (SubFailure::ConnectionLost, unknown)
    );
}

#[tokio::test]
async fn a_shed_request_was_not_run() {
    let faults = FaultSettings {
        shed_all: true,
        ..FaultSettings::default()
    };
    let error = search_with_faults(faults, ConnectionBounds::default())
        .await
        .expect_err("shed");
    assert_eq!(
        (error.failure(), error.run()),
        (SubFailure::Shed, RunState::NotRun)
    );
}

#[tokio::test]
async fn an_unresponsive_target_is_detected_before_the_deadline() {
    let faults = FaultSettings {
        silent: true,
        ..FaultSettings::default()
    };
    let bounds = ConnectionBounds {
        silence: Duration::from_millis(100),
        ..ConnectionBounds::default()
    };
    let error = search_with_faults(faults, bounds)
        .await
        .expect_err("silence");
    assert_eq!(
        (error.failure(), error.run()),
        (SubFailure::Silent, RunState::Unknown)
    );
}

#[tokio::test]
async fn a_request_without_a_connection_was_not_run() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let opened = TargetConnection::open(&address, ConnectionBounds::default()).await;
    let error = opened.map(|_| ()).expect_err("nobody listens");
    assert_eq!(
        (error.failure(), error.run()),
        (SubFailure::ConnectFailed, RunState::NotRun)
    );
}
