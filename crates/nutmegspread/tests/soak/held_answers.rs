//! Memory that answers take in a node while it holds them.

use crate::broken_targets::{MAX_MEMORY_KIB, world_with_targets};
use crate::build_runtime;
use crate::soak_caller::{request_part_count, request_without_reading};
use nutmegspread_platform::headers;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a target that sends the same bytes on each connection, once a request has arrived, and
/// then nothing more.
async fn start_target(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4096];
                if matches!(stream.read(&mut request).await, Ok(1..))
                    && stream.write_all(bytes).await.is_ok()
                {
                    // The node closes the connection.
                    let _ = stream.read(&mut request).await;
                }
            });
        }
    });
    address
}

/// Guards against a node that runs out of memory because complete answers, which callers take slowly,
/// count no more among those that it holds.
#[test]
fn large_answers_to_slow_callers_cost_little_memory() {
    build_runtime().block_on(async {
        let body = 15 * 1024 * 1024;
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: s\r\ncontent-length: {body}\r\n\r\n",
            headers::STAMP
        );
        let mut answer = head.into_bytes();
        answer.resize(answer.len() + body, b'a');
        let target = start_target(answer.leak()).await;
        let world = world_with_targets(&[target]).await;
        let node = world.nodes[0].address;
        let mut callers = Vec::new();
        for number in 0..24 {
            callers.push(request_without_reading(node, "fetch", &format!("large{number}")).await);
            tokio::time::sleep(Duration::from_millis(120)).await;
        }
        let parts = request_part_count(node, "beside").await;
        let memory = world.peak_memory_kib(0);
        world.close(false).await;
        assert_eq!(parts, 6, "parts of a gather beside them");
        assert!(memory < MAX_MEMORY_KIB, "the node took {memory} KiB");
    });
}
