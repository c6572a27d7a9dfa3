//! What a connection makes of every kind of faulty reply.

use nutmegspread_model::{RunState, SearchRequest, SubFailure};
use nutmegspread_standin::searcher::{BodyFault, FaultSettings, SearcherSettings, SearcherStandin};
use nutmegspread_wire::target::{ConnectionBounds, TargetConnection, TargetError};
use std::time::Duration;
use tokio::time::Instant;

const FAR: Duration = Duration::from_secs(30);

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

async fn search_with(faults: FaultSettings, bounds: ConnectionBounds) -> Result<u64, TargetError> {
    let standin = SearcherStandin::start(SearcherSettings::default())
        .await
        .expect("a port is free");
    standin.faults().set(faults);
    let address = standin.address().to_string();
    let mut connection = TargetConnection::open(&address, bounds).await?;
    let reply = connection
        .search(&search_request(), Instant::now() + FAR)
        .await;
    connection.close();
    standin.close().await;
    reply.map(|reply| reply.snapshot)
}

async fn failure_of(body: BodyFault) -> (SubFailure, RunState) {
    let faults = FaultSettings {
        body,
        ..FaultSettings::default()
    };
    let error = search_with(faults, ConnectionBounds::default())
        .await
        .expect_err("a fault");
    (error.failure(), error.run())
}

#[tokio::test]
async fn a_whole_reply_is_taken() {
    let faults = FaultSettings::default();
    let snapshot = search_with(faults, ConnectionBounds::default())
        .await
        .expect("a reply");
    assert_eq!(snapshot, 3);
}

#[tokio::test]
async fn faulty_bodies_are_refused_and_may_have_run() {
    let unknown = RunState::Unknown;
    assert_eq!(
        failure_of(BodyFault::Garbage).await,
        (SubFailure::BadReply, unknown)
    );
    assert_eq!(
        failure_of(BodyFault::Endless).await,
        (SubFailure::BadReply, unknown)
    );
    assert_eq!(
        failure_of(BodyFault::CrossedIds).await,
        (SubFailure::BadReply, unknown)
    );
    assert_eq!(
        failure_of(BodyFault::Truncated).await,
        (SubFailure::ConnectionLost, unknown)
    );
}

#[tokio::test]
async fn a_shed_request_was_not_run() {
    let faults = FaultSettings {
        shed_all: true,
        ..FaultSettings::default()
    };
    let error = search_with(faults, ConnectionBounds::default())
        .await
        .expect_err("shed");
    assert_eq!(
        (error.failure(), error.run()),
        (SubFailure::Shed, RunState::NotRun)
    );
}

#[tokio::test]
async fn a_silent_target_is_noticed_before_the_deadline() {
    let faults = FaultSettings {
        silent: true,
        ..FaultSettings::default()
    };
    let bounds = ConnectionBounds {
        silence: Duration::from_millis(100),
        ..ConnectionBounds::default()
    };
    let error = search_with(faults, bounds).await.expect_err("silence");
    assert_eq!(
        (error.failure(), error.run()),
        (SubFailure::Silent, RunState::Unknown)
    );
}

#[tokio::test]
async fn nothing_runs_where_no_connection_opens() {
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
