//! Answers of a target whose head is broken, to an order.

use nutmegspread_model::{OrderReply, RunState, SearchReply, SearchRequest, TargetState};
use nutmegspread_wire::target::{ConnectionBounds, OrderCall, TargetConnection};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Start of an answer that the order has run, and of one that it has not.
const STARTS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 503 Full\r\nx-target-state: shed\r\n",
];
/// Lines that cannot stand in a head in place of the length of a body of 48 bytes.
const BROKEN_LENGTHS: [&str; 17] = [
    "content-length: +48",
    "content-length: 48x",
    "content-length:",
    "content-length: 48\r\ncontent-length: 4",
    "content-length : 48",
    "content length: 48",
    "content-\u{7}length: 48",
    "no field",
    ": 48",
    "transfer-encoding: chunked",
    "transfer-encoding: chunke",
    "transfer-encoding: identity",
    "transfer-encoding: gzip, chunked",
    "transfer-encoding: chunked, gzip",
    "transfer-encoding: x\r\ntransfer-encoding: chunked",
    "transfer-encoding: x\r\ncontent-length: 48",
    "content-length: 48\r\ntransfer-encoding: chunked",
];
/// Statuses that do not exist, or that no target sends.
const BROKEN_STATUSES: [&str; 14] = [
    "000",
    "000 200",
    "000 OK\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200",
    "100 Continue\r\n\r\nHTTP/1.1 000",
    "00",
    "0",
    "099",
    "600",
    "999",
    "1000",
    "2x0",
    "OOO",
    "+20",
    " 200",
];

/// Starts a server that answers one request on each connection and ends it.
async fn start_server(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            if matches!(stream.read(&mut request).await, Ok(1..)) {
                // The client may have closed the connection.
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    address
}

/// Sends an order to a target with this answer.
async fn order(answer: String) -> Result<OrderReply, RunState> {
    let address = start_server(answer).await;
    let bounds = ConnectionBounds::default();
    let connection = TargetConnection::open(&address, bounds).await;
    let mut connection = connection.expect("a connection");
    let call = OrderCall {
        request_id: "r1".into(),
        key: "key".into(),
        route: "order".into(),
        body: "one urn".into(),
    };
    let deadline = Instant::now() + Duration::from_secs(5);
    let reply = connection.order(&call, deadline).await;
    connection.close();
    reply.map_err(|error| error.run())
}

/// Searches at a target with this answer.
async fn search(answer: String) -> Result<SearchReply, RunState> {
    let address = start_server(answer).await;
    let connection = TargetConnection::open(&address, ConnectionBounds::default()).await;
    let mut connection = connection.expect("a connection");
    let request = SearchRequest {
        request_id: "r1".into(),
        attempt: 1,
        snapshot: 3,
        shard: 2,
        route: "search".into(),
        query: "plate".into(),
        k: 4,
        remaining_ms: 5_000,
    };
    let deadline = Instant::now() + Duration::from_secs(5);
    let reply = connection.search(&request, deadline).await;
    connection.close();
    reply.map_err(|error| error.run())
}

/// Body of the answer that the order has run.
fn reply() -> OrderReply {
    OrderReply {
        key: "key".into(),
        state: TargetState::default(),
        result: "engraved".to_owned(),
    }
}

/// Guards against a broken answer that is taken for the result of an order, or for the statement that it
/// has not run, so that it runs again.
#[tokio::test]
async fn a_broken_answer_to_an_order_says_nothing() {
    let body = serde_json::to_string(&reply()).expect("JSON");
    let length = format!("content-length: {}", body.len());
    assert_eq!(length, "content-length: 48");
    let mut answers = Vec::new();
    for start in STARTS {
        for line in BROKEN_LENGTHS {
            answers.push(format!("{start}{line}\r\n\r\n{body}"));
        }
        for status in BROKEN_STATUSES {
            let start = start.replace("200", status).replace("503", status);
            answers.push(format!("{start}{length}\r\n\r\n{body}"));
        }
    }
    // The rest of the head is a part of the body.
    answers.push(format!("{}\n{length}\r\n\r\n{body}", STARTS[0]));
    let mut believed = Vec::new();
    for answer in answers {
        let end = order(answer.clone()).await;
        if end != Err(RunState::Unknown) {
            believed.push((answer, end));
        }
    }
    assert!(believed.is_empty(), "{believed:#?}");
}

#[tokio::test]
async fn valid_heads_of_unusual_form_are_read() {
    let body = serde_json::to_string(&reply()).expect("JSON");
    let chunks = format!("{:x};x=y\r\n{body}\r\n0\r\nx-sum: 1\r\n\r\n", body.len());
    let rests = [
        format!("Content-Length:048 \r\n\r\n{body}"),
        format!("connection: close\r\n\r\n{body}"),
        format!("\r\n{body}"),
        format!("Transfer-Encoding: Chunked\r\n\r\n{chunks}"),
    ];
    for (start, expected) in STARTS.into_iter().zip([Ok(reply()), Err(RunState::NotRun)]) {
        for rest in &rests {
            assert_eq!(order(format!("{start}{rest}")).await, expected, "{rest:?}");
        }
    }
}

/// Guards against the rejection of another order, whose id is hidden because the head ends early at a stray
/// line feed.
#[tokio::test]
async fn a_rejection_whose_head_ends_early_says_nothing() {
    let hidden_id = "\nx-request-id: r0\r\ncontent-length: 0\r\n\r\n";
    let end = order(format!("{}{hidden_id}", STARTS[1])).await;
    assert_eq!(end, Err(RunState::Unknown));
}

/// Guards against hits from a broken answer, and against a broken answer that is taken for the statement that
/// the search has not run.
#[tokio::test]
async fn a_broken_status_of_a_search_gives_no_hits() {
    let reply = SearchReply {
        request_id: "r1".into(),
        attempt: 1,
        snapshot: 3,
        shard: 2,
        version: "1".into(),
        incarnation: 1,
        state: TargetState::default(),
        complete: true,
        hits: Vec::new(),
    };
    let body = serde_json::to_string(&reply).expect("JSON");
    let length = format!("content-length: {}", body.len());
    let ids = "x-request-id: r1\r\nx-attempt-id: 1";
    let valid = [("200", Ok(reply))];
    let broken = BROKEN_STATUSES.map(|status| (status, Err(RunState::Unknown)));
    for (status, expected) in valid.into_iter().chain(broken) {
        let start = format!("HTTP/1.1 {status} OK\r\n{ids}");
        for rest in [
            format!("{length}\r\n\r\n{body}"),
            format!("connection: close\r\n\r\n{body}"),
            format!(
                "transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                body.len()
            ),
        ] {
            let end = search(format!("{start}\r\n{rest}")).await;
            assert_eq!(end, expected, "{status} with {rest:?}");
        }
    }
}
