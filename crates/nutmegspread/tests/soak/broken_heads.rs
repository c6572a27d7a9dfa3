//! Targets that send an answer with a broken head or broken chunks, and end the connection.

use crate::broken_targets::world_with_targets;
use crate::build_runtime;
use crate::second_copies::read_request_id;
use crate::soak_caller::{CallOutcome, request_outcome};
use bytes::Bytes;
use nutmegspread_platform::headers;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A part of a valid answer and its replacement, and whether the answer stays valid.
type HeadChange = (&'static str, &'static str, bool);

/// Line that states the length of the body.
const LENGTH: &str = "content-length: 5\r\n";
/// Line that precedes a body in chunks.
const CODING: &str = "transfer-encoding: chunked\r\n";
/// Rest of the status line.
const STATUS: &str = "200 OK\r\n";
/// Line of no importance.
const NOTE: &str = "x-note: n\r\n";
/// Body of the answers without chunks.
const BODY: &str = "hello";
/// End of these answers.
const WHOLE_END: &str = "content-length: 5\r\nx-note: n\r\n\r\nhello";
/// Body of the answers in chunks.
const CHUNKS: &str = "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
/// End of these chunks, from the size of the second one to that of the last one.
const LAST_SIZES: &str = "2\r\nlo\r\n0\r\n";

/// Changes to an answer whose body has a length.
const LENGTH_CHANGES: &[HeadChange] = &[
    (LENGTH, LENGTH, true),
    (LENGTH, "", true),
    (LENGTH, "Content-Length:5 \r\n", true),
    (LENGTH, "content-length: +3\r\n", false),
    (LENGTH, "content-length: -3\r\n", false),
    (LENGTH, "content-length: 3x\r\n", false),
    (LENGTH, "content-length: 3\u{a0}\r\n", false),
    (LENGTH, "content-length: \r\n", false),
    (LENGTH, "content-length: 5\r\ncontent-length: 3\r\n", false),
    (LENGTH, "transfer-encoding: identity\r\n", false),
    (
        LENGTH,
        "content-length: 3\r\ntransfer-encoding: x\r\n",
        false,
    ),
    (NOTE, "x-note:\r\n", true),
    (NOTE, "no field\r\n", false),
    (NOTE, ": n\r\n", false),
    (NOTE, "x note: n\r\n", false),
    (NOTE, "x-note : n\r\n", false),
    (NOTE, "x-\u{7}note: n\r\n", false),
    (LENGTH, "\ncontent-length: 5\r\n", false),
    (LENGTH, "content-length : 5\r\n", false),
    (LENGTH, "x-other: o\n\r\ncontent-length: 5\r\n", false),
    (STATUS, "000 OK\r\n", false),
    (STATUS, "000 OK\r\n\r\nHTTP/1.1 200 OK\r\n", false),
    (STATUS, "099 OK\r\n", false),
    (STATUS, "600 OK\r\n", false),
    (STATUS, "103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", true),
    (LENGTH, "connection: close\r\n", true),
    (
        LENGTH,
        "connection: close\r\nkeep-alive: timeout=4\r\n",
        true,
    ),
    (
        WHOLE_END,
        "c0ntent-length: 5\r\nkeep-alive: timeout=4\r\n\r\nhel",
        false,
    ),
    (
        WHOLE_END,
        "c0ntent-length: 5\r\nconnection: Keep-Alive\r\n\r\nhel",
        false,
    ),
];

/// Changes to an answer whose body comes in chunks.
const CHUNK_CHANGES: &[HeadChange] = &[
    (CODING, CODING, true),
    (CODING, "Transfer-Encoding:Chunked\r\n", true),
    (CODING, "transfer-encoding: chunke\r\n", false),
    (CODING, "transfer-encoding: xchunked\r\n", false),
    (CODING, "transfer-encoding: gzip, chunked\r\n", false),
    (
        CODING,
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
        false,
    ),
    (LAST_SIZES, "0\r\nlo\r\n0\r\n", false),
    (LAST_SIZES, "\r\nlo\r\n0\r\n", false),
    (LAST_SIZES, ";2\r\n\r\nlo\r\n0\r\n", false),
    (LAST_SIZES, "2;x=\"y\"\r\nlo\r\n0\r\nx-sum: 1\r\n", true),
];

/// Returns an answer to the request that names a table of changes and a row of it.
fn answer_to(id: &str) -> String {
    let mut parts = id.split('.');
    let (line, body, changes) = match parts.next() {
        Some("chunks") => (CODING, CHUNKS, CHUNK_CHANGES),
        _ => (LENGTH, BODY, LENGTH_CHANGES),
    };
    let row = parts.next().and_then(|row| row.parse::<usize>().ok());
    let (part, replacement, _) = changes[row.expect("the id names a row")];
    let (stamp, id_header) = (headers::STAMP, headers::REQUEST_ID);
    format!("HTTP/1.1 {STATUS}{stamp}: s\r\n{id_header}: {id}\r\n{line}{NOTE}\r\n{body}").replacen(
        part,
        replacement,
        1,
    )
}

/// Starts a target that answers one request on each connection.
async fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if let Some(id) = read_request_id(&mut stream).await {
                    // The node may have closed the connection.
                    let _ = stream.write_all(answer_to(&id).as_bytes()).await;
                }
            });
        }
    });
    address
}

/// Guards against a caller that gets a broken answer as a complete one, with another body than its
/// target sent, and against valid answers of unusual form that are lost.
#[test]
fn callers_get_no_broken_answer() {
    build_runtime().block_on(async {
        let targets = [start_target().await, start_target().await];
        let world = world_with_targets(&targets).await;
        let mut faults = Vec::new();
        for (table, changes) in [("length", LENGTH_CHANGES), ("chunks", CHUNK_CHANGES)] {
            for (row, (part, replacement, is_valid)) in changes.iter().enumerate() {
                for route in ["fetch", "order"] {
                    let id = format!("{table}.{row}.{route}");
                    let told = match request_outcome(world.nodes[0].address, route, &id).await {
                        Some(CallOutcome::Answer {
                            status,
                            stamps,
                            body,
                            ..
                        }) => (status, stamps.len(), body),
                        _ => (0, 0, Bytes::new()),
                    };
                    let is_whole = told == (200, 1, Bytes::from_static(BODY.as_bytes()));
                    let is_refused = (told.0, told.1) == (502, 0);
                    if (is_whole, is_refused) != (*is_valid, !is_valid) {
                        faults.push(format!("{part:?} as {replacement:?} at {route}: {told:?}"));
                    }
                }
            }
        }
        world.close(false).await;
        assert!(faults.is_empty(), "{faults:#?}");
    });
}
