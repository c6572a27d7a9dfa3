//! A target that sends a rejection a second time, when the next request has arrived on the connection.

use nutmegspread_model::{RunState, SubFailure};
use nutmegspread_wire::target::{ConnectionBounds, OrderCall, TargetConnection};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

fn order(id: &str) -> OrderCall {
    OrderCall {
        request_id: id.into(),
        key: format!("key-{id}").as_str().into(),
        route: "order".into(),
        body: "one urn".into(),
    }
}

/// Guards against an order that runs twice: the second copy of the rejection of another order was taken
/// for a statement that it had not run.
#[tokio::test]
async fn the_rejection_of_another_order_says_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let rejection = "HTTP/1.1 503 Full\r\nx-target-state: shed\r\nx-request-id: first\r\n\
                         content-length: 0\r\n\r\n";
        let mut request = [0; 4096];
        while matches!(stream.read(&mut request).await, Ok(1..)) {
            let _ = stream.write_all(rejection.as_bytes()).await;
        }
    });
    let mut connection = TargetConnection::open(&address, ConnectionBounds::default())
        .await
        .expect("a connection");
    let mut ends = Vec::new();
    for id in ["first", "second"] {
        let deadline = Instant::now() + Duration::from_secs(5);
        let error = connection.order(&order(id), deadline).await;
        let error = error.expect_err("the target answers no order");
        ends.push((error.failure(), error.run()));
    }
    connection.close();
    assert_eq!(
        ends,
        [
            (SubFailure::Shed, RunState::NotRun),
            (SubFailure::BadReply, RunState::Unknown)
        ]
    );
}
