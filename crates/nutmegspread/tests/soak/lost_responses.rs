//! Responses that are lost at any point, and complete failures, on both kinds of routes.

use crate::broken_targets::world_with_targets;
use crate::build_runtime;
use crate::second_copies::read_request_id;
use crate::soak_caller::{CallOutcome, request_outcome};
use crate::soak_world::SoakWorld;
use indexmap::IndexMap;
use nutmegspread_platform::headers;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Statuses of the responses. A complete 421 is left out: the node sends nothing to such an address any
/// more.
const STATUSES: [u16; 8] = [200, 302, 400, 404, 408, 429, 500, 503];
/// Statuses that promise a caller that its request has not run.
const PROMISING_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Where a target, which has run the request, ends its response.
const POINTS: [&str; 4] = ["before", "head", "body", "complete"];
/// Routes of the two kinds, with the number of targets on which a request may run.
const ROUTES: [(&str, usize); 2] = [("fetch", 2), ("order", 1)];

/// Number of runs of each request, by its id.
type RunCounts = Arc<Mutex<IndexMap<String, usize>>>;

/// Starts a target that runs each request and ends its response as the id of the request states.
async fn start_target(runs: &RunCounts) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let runs = Arc::clone(runs);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&runs)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, runs: RunCounts) {
    while let Some(id) = read_request_id(&mut stream).await {
        *runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(id.clone())
            .or_default() += 1;
        let mut parts = id.split('.');
        let (point, status) = (parts.next(), parts.next().unwrap_or_default());
        let head = format!(
            "HTTP/1.1 {status} X\r\n{}: s\r\n{}: {id}\r\ncontent-length: 9\r\n\r\n",
            headers::STAMP,
            headers::REQUEST_ID
        );
        let response = match point {
            Some("complete") => head + "a failure",
            Some("body") => head + "a fail",
            Some("head") => head[..head.len() - 2].to_owned(),
            _ => String::new(),
        };
        let is_written = stream.write_all(response.as_bytes()).await.is_ok();
        if !is_written || point != Some("complete") {
            return;
        }
    }
}

/// Sends a request; returns the status and whether the response has a target's signature.
async fn send(world: &SoakWorld, route: &str, id: &str) -> (u16, bool) {
    match request_outcome(world.nodes[0].address, route, id).await {
        Some(CallOutcome::Answer { status, stamps, .. }) => (status, !stamps.is_empty()),
        _ => (0, false),
    }
}

/// Guards against an order that runs twice after a failure that does not state that it has not run,
/// and against a status that promises a caller that its request has not run although it has.
#[test]
fn what_may_have_run_is_not_repeated_and_not_called_not_run() {
    build_runtime().block_on(async {
        let runs = RunCounts::default();
        let targets = [start_target(&runs).await, start_target(&runs).await];
        let world = world_with_targets(&targets).await;
        let mut broken = Vec::new();
        for (route, most_runs) in ROUTES {
            for point in POINTS {
                for status in STATUSES {
                    let is_complete = point == "complete";
                    if is_complete && status == 200 {
                        continue;
                    }
                    let id = format!("{point}.{status}.{route}");
                    let told = send(&world, route, &id).await;
                    let is_forwarded = is_complete && !PROMISING_STATUSES.contains(&status);
                    let expected = if is_forwarded {
                        (status, true)
                    } else {
                        (502, false)
                    };
                    let counts = runs.lock().unwrap_or_else(PoisonError::into_inner);
                    let count = counts.get(&id).copied().unwrap_or(0);
                    if (told, count) != (expected, most_runs) {
                        broken.push(format!("{id}: told {told:?}, ran {count} times"));
                    }
                }
            }
        }
        world.close(false).await;
        assert!(broken.is_empty(), "{broken:#?}");
    });
}

/// Guards against a request that was never written to a target and is reported as one that may have
/// run, so that its caller cannot send an order again.
#[test]
fn what_was_never_written_is_refused() {
    build_runtime().block_on(async {
        // Nothing listens on these addresses. The sockets keep them from the searchers of other tests.
        let sockets = [(); 2].map(|()| TcpSocket::new_v4().expect("a socket"));
        let addresses = sockets.each_ref().map(|socket| {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            socket.bind(any).expect("a port");
            socket.local_addr().expect("its address")
        });
        let world = world_with_targets(&addresses).await;
        let mut told = Vec::new();
        for (route, _) in ROUTES {
            told.push(send(&world, route, &format!("unsent.{route}")).await);
        }
        world.close(false).await;
        assert_eq!(told, [(503, false); 2]);
    });
}
