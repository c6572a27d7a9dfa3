//! Calls of the control thread over real sockets.

use nutmegspread_edge::control::{ControlNetwork, ServerCall, StoreClient};
use nutmegspread_edge::{NodeSettings, SharedState};
use nutmegspread_platform::{ObjectKind, list_path};
use nutmegspread_platform_standin::{PagedEntry, PagedStore};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};

/// Statuses that do not exist, and a head with status 000 before or after another one.
const BROKEN_STATUSES: [&str; 14] = [
    "000 OK",
    "000",
    "000 200 OK",
    "000 OK\r\n\r\nHTTP/1.1 200 OK",
    "100 Continue\r\n\r\nHTTP/1.1 000 OK",
    "00 OK",
    "0 OK",
    "099 OK",
    "600 OK",
    "999 OK",
    "1000 OK",
    "OOO OK",
    "+20 OK",
    " 200 OK",
];

/// Sends an answer without end on each connection.
async fn answer_endlessly(listener: TcpListener) {
    let chunk = format!("10000\r\n{}\r\n", "a".repeat(0x10000));
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let mut bytes = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        while stream.write_all(bytes.as_bytes()).await.is_ok() {
            bytes = &chunk;
        }
    }
}

/// Guards against a node that runs out of memory because the store or a peer sends an answer without
/// end.
#[test]
fn an_answer_without_end_of_the_store_or_a_peer_is_given_up() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let local = tokio::task::LocalSet::new();
    let reason = local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        tokio::task::spawn_local(answer_endlessly(listener));
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let network = ControlNetwork::new(socket);
        let call = ServerCall::get("/list".to_owned(), Duration::from_secs(5));
        let answer = (network.connect)(address).call(call).await;
        answer.expect_err("no complete answer").to_string()
    });
    assert!(
        reason.ends_with("the answer is larger than 33554432 bytes"),
        "{reason}"
    );
}

/// Returns a client of a store that sends the same answer on each connection and ends it.
async fn client_of(answer: Vec<u8>) -> StoreClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&answer).await;
        }
    });
    let text = include_str!("../../../examples/edge-1.jsonc");
    let settings = NodeSettings::parse(text).expect("valid settings");
    let shared = Arc::new(SharedState::new(settings, 1.0));
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let connection = (ControlNetwork::new(socket).connect)(address);
    StoreClient::new(connection, shared)
}

/// Lists the targets of a store with this answer; returns the number of objects, or `None` after an error.
async fn list_from(answer: Vec<u8>) -> Option<usize> {
    let mut client = client_of(answer).await;
    let list = client.list(ObjectKind::Targets, false).await;
    list.ok().map(|list| list.objects.len())
}

/// Writes the status of an object to a store with this answer; returns whether it was acknowledged.
async fn is_acknowledged(status: &str, line: &str) -> bool {
    let answer = format!("HTTP/1.1 {status}\r\n{line}\r\n\r\n{{}}");
    let mut client = client_of(answer.into_bytes()).await;
    let kind = ObjectKind::Rollouts;
    client
        .put_status(kind, "s", "{}".to_owned(), None)
        .await
        .is_ok()
}

/// Guards against a list of the store, or of a peer, that is read from a broken answer.
#[tokio::test]
async fn a_broken_answer_of_the_store_is_no_list() {
    let store = PagedStore::default();
    store.replace(["a", "b"].map(|name| PagedEntry::usable(name, 0)).into());
    let path = list_path(ObjectKind::Targets, None, false);
    let (_, body) = store.answer(&hyper::Method::GET, &path).await;
    let length = format!("content-length: {}", body.len());
    let whole = String::from_utf8(body).expect("text");
    let chunks = format!("{:x}\r\n{whole}\r\n0\r\n\r\n", whole.len());
    let answers = [
        ("200 OK", length.clone(), &whole, Some(2)),
        ("200 OK", "connection: close".to_owned(), &whole, Some(2)),
        (
            "200 OK",
            "transfer-encoding: chunked".to_owned(),
            &chunks,
            Some(2),
        ),
        ("200 OK", length.replace(": ", ": +"), &whole, None),
        ("200 OK", length.replace(": ", " : "), &whole, None),
        ("200 OK", length.replace('-', " "), &whole, None),
        ("200 OK", length.replace('-', "\u{1}"), &whole, None),
        ("200 OK", format!("\n{length}"), &whole, None),
        ("200 OK", format!("{length}\r\nno field"), &whole, None),
        ("200 OK", "content-length: 9".to_owned(), &whole, None),
        (
            "200 OK",
            "transfer-encoding: chunke".to_owned(),
            &chunks,
            None,
        ),
        (
            "200 OK",
            "transfer-encoding: chunked".to_owned(),
            &whole,
            None,
        ),
    ];
    let statuses = BROKEN_STATUSES.map(|status| (status, length.clone(), &whole, None));
    let local = tokio::task::LocalSet::new();
    for (status, line, body, expected) in answers.into_iter().chain(statuses) {
        let answer = format!("HTTP/1.1 {status}\r\n{line}\r\n\r\n{body}");
        let listed = local.run_until(list_from(answer.into_bytes())).await;
        assert_eq!(listed, expected, "{status} with {line:?}");
    }
}

/// Guards against a write that counts as made because of a broken answer.
#[tokio::test]
async fn a_broken_answer_of_the_store_is_no_acknowledgement() {
    let lines = [
        ("content-length: 2", true),
        ("connection: close", true),
        ("x-note: n", true),
        ("content-length: +2", false),
        ("no field", false),
        ("content-length : 2", false),
        ("transfer-encoding: chunke", false),
        ("transfer-encoding: identity", false),
        ("transfer-encoding: x\r\ncontent-length: 2", false),
        ("c0ntent-length: 2\r\nkeep-alive: timeout=4", false),
    ];
    let local = tokio::task::LocalSet::new();
    let lines = lines.map(|(line, expected)| ("200 OK", line, expected));
    let statuses = BROKEN_STATUSES.map(|status| (status, "content-length: 2", false));
    for (status, line, expected) in lines.into_iter().chain(statuses) {
        let is_made = local.run_until(is_acknowledged(status, line)).await;
        assert_eq!(is_made, expected, "{status} with {line:?}");
    }
}

/// Guards against a write that counts as made because of an answer whose head ends early.
#[tokio::test]
async fn a_head_that_ends_early_is_no_acknowledgement() {
    let local = tokio::task::LocalSet::new();
    assert!(
        !local
            .run_until(is_acknowledged("200 OK", "\ncontent-length: 2"))
            .await
    );
}
