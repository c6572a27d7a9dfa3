//! Answers to operators' commands whose status does not exist.

use nutmegspread::command::OperatorClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a node that gives each call the same answer; returns its address.
async fn start_node(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 16 * 1024];
            if matches!(stream.read(&mut request).await, Ok(1..)) {
                // The client may have closed the connection.
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    address
}

/// Guards against a command that reports success after an answer with status 000.
#[tokio::test]
async fn an_answer_without_a_valid_status_is_no_success() {
    let body = "{\"revision\": 7}";
    let broken = [
        "000 OK", "000", "00 OK", "099 OK", "600 OK", "999 OK", "1000 OK", "OOO OK", " 200 OK",
    ];
    let statuses = broken.map(|status| (status, false));
    for (status, expected) in [("200 OK", true)].into_iter().chain(statuses) {
        let length = body.len();
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
        let client = OperatorClient::new(&start_node(answer).await, "token");
        let read = client.get("/v1/status").await;
        assert_eq!(read.is_ok(), expected, "{status}: {read:?}");
        let applied = client.apply(&Default::default(), 6).await;
        assert_eq!(applied.ok(), expected.then_some(7), "{status}");
    }
}
