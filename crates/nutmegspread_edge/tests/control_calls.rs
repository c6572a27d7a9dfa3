//! Calls of the control thread over real sockets.

use nutmegspread_edge::control::{ControlNetwork, ServerCall};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};

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
