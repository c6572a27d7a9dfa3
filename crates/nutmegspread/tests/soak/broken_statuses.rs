//! Targets that answer with a status that does not exist, and keep the connection open.

use crate::broken_targets::world_with_targets;
use crate::second_copies::read_request_id;
use crate::soak_caller::{build_request, connect};
use crate::soak_world::{CALLER_PORT, SoakWorld, shard_names_of};
use crate::tenant_keys::KEPT;
use crate::{START_TIME, build_runtime};
use http_body_util::BodyExt;
use hyper::header::{HeaderName, HeaderValue};
use indexmap::IndexMap;
use nutmegspread_platform::headers;
use nutmegspread_platform_standin::{DraftTenant, SearcherSettings};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Status lines without a status that exists.
const STATUS_LINES: [&str; 17] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000",
    "HTTP/1.0 000 OK",
    "HTTP/1.1 000 200 OK",
    "HTTP/1.1 00 OK",
    "HTTP/1.1 0 OK",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 020 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 99 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 OOO OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 -00 OK",
];
/// Bodies with the lines that state their ends.
const BODIES: [&str; 4] = [
    "content-length: 5\r\n\r\nhello",
    "content-length: 0\r\n\r\n",
    "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "\r\nhello",
];
/// Row of the answers that a target gives which works.
const WHOLE_ROW: usize = 0;

/// Returns a valid answer to the request with this id, and the broken ones.
fn answers_to(id: &str) -> Vec<String> {
    let (id_header, stamp) = (headers::REQUEST_ID, headers::STAMP);
    let named = format!("{id_header}: {id}\r\n");
    let signed = format!("{named}{stamp}: s\r\n");
    let not_run = headers::NOT_RUN;
    let body = BODIES[0];
    let whole = format!("HTTP/1.1 200 OK\r\n{signed}{body}");
    let mut answers = vec![whole.clone()];
    answers.extend(STATUS_LINES.map(|line| format!("{line}\r\n{signed}{body}")));
    let zero = "HTTP/1.1 000 OK\r\n";
    answers.extend(BODIES.map(|body| format!("{zero}{signed}{body}")));
    let fields = [
        String::new(),
        named.clone(),
        format!("{stamp}: s\r\n"),
        format!("{named}{not_run}: 1\r\n"),
        format!("{signed}{not_run}: 1\r\n"),
        format!("{signed}connection: keep-alive\r\nkeep-alive: timeout=9\r\n"),
        format!("{signed}connection: close\r\n"),
        format!("{signed}retry-after: 1\r\n{}: 1\r\n", headers::LEAVING),
    ];
    answers.extend(fields.map(|fields| format!("{zero}{fields}{body}")));
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    answers.extend([
        format!("{zero}\r\n{whole}"),
        format!("{zero}{signed}content-length: 0\r\n\r\n{whole}"),
        format!("{zero}{whole}"),
        format!("{interim}{zero}{signed}{body}"),
        format!("{interim}{zero}\r\n{whole}"),
    ]);
    answers
}

/// What the broken targets of a test have seen.
#[derive(Debug, Default)]
struct SeenRequests {
    /// Number of arrivals, by the id of the request.
    arrivals: IndexMap<String, usize>,
    /// Requests on a connection that had carried a broken answer.
    after_broken: Vec<String>,
}

/// Starts a target that gives each request the answer of this row, or of the row that its id names.
async fn start_target(seen: &Arc<Mutex<SeenRequests>>, row: Option<usize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let seen = Arc::clone(seen);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, row, Arc::clone(&seen)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, row: Option<usize>, seen: Arc<Mutex<SeenRequests>>) {
    let mut was_broken = false;
    while let Some(id) = read_request_id(&mut stream).await {
        let named_row = || id.split('.').next()?.parse().ok();
        let row = row.or_else(named_row).expect("the id names a row");
        {
            let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
            *seen.arrivals.entry(id.clone()).or_default() += 1;
            if was_broken {
                seen.after_broken.push(id.clone());
            }
        }
        was_broken |= row != WHOLE_ROW;
        // The node may have closed the connection.
        let _ = stream.write_all(answers_to(&id)[row].as_bytes()).await;
    }
}

/// Sends a request with a key; returns the status, whether the answer has a signature of a target, the
/// number of missing parts and the body.
async fn request(world: &SoakWorld, route: &str, id: &str) -> (u16, bool, String, String) {
    let node = SocketAddr::new(world.nodes[0].address, CALLER_PORT);
    let mut sender = connect(node).await.expect("a connection to the node");
    let mut request = build_request(route, id);
    let (name, key) = (HeaderName::from_static(headers::KEY), KEPT);
    let key = HeaderValue::from_static(key);
    request.headers_mut().insert(name, key);
    let answer = sender.send_request(request).await.expect("an answer");
    let status = answer.status().as_u16();
    let is_signed = answer.headers().contains_key(headers::STAMP);
    let missing = answer.headers().get(headers::MISSING_PARTS);
    let missing = missing.map_or("", |missing| missing.to_str().expect("text"));
    let missing = missing.to_owned();
    let body = answer.into_body().collect().await.expect("a whole body");
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    (status, is_signed, missing, body)
}

/// Checks what callers get where a target gives the answers of these rows.
fn check_answers(rows: Range<usize>) {
    build_runtime().block_on(async {
        let seen = Arc::default();
        let targets = [
            start_target(&seen, None).await,
            start_target(&seen, None).await,
        ];
        let mut world = world_with_targets(&targets).await;
        let shard = shard_names_of(0).swap_remove(0);
        for (id, searcher) in &world.searchers {
            if searcher.settings.service == shard {
                world.store.deregister(id);
            }
        }
        let settings = SearcherSettings {
            service: shard,
            ..Default::default()
        };
        let part = start_target(&seen, None).await;
        world.store.register("i-part", &settings, part);
        world.tenants = vec![DraftTenant::new("b", KEPT)];
        world.publish_configuration(0);
        tokio::time::sleep(START_TIME).await;
        let mut faults = Vec::new();
        for row in rows {
            for route in ["fetch", "order", "gather"] {
                let id = format!("{row}.{route}");
                let told = request(&world, route, &id).await;
                let (status, is_signed, missing, body) = &told;
                let is_right = match (row, route) {
                    (WHOLE_ROW, "gather") => *status == 200,
                    (WHOLE_ROW, _) => (*status, *is_signed, &body[..]) == (200, true, "hello"),
                    (_, "gather") => {
                        (*status, &missing[..]) == (200, "1") && !body.contains("hello")
                    }
                    _ => (*status, *is_signed, &body[..]) == (502, false, ""),
                };
                let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
                let arrivals = seen.arrivals.get(&id).copied().unwrap_or(0);
                let is_sent = arrivals == 1 || (arrivals > 1 && route != "order");
                if !is_right || !is_sent {
                    let answer = &answers_to(&id)[row];
                    faults.push(format!("{answer:?}, sent {arrivals} times: {told:?}"));
                }
            }
        }
        world.close(!faults.is_empty()).await;
        let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
        let after_broken = &seen.after_broken;
        assert!(faults.is_empty(), "{faults:#?}");
        assert!(after_broken.is_empty(), "reused for {after_broken:?}");
    });
}

/// Guards against a caller that gets an answer whose status is 000 or does not exist, and an order that is
/// sent again after one.
#[test]
fn callers_get_no_status_that_does_not_exist() {
    check_answers(0..STATUS_LINES.len() + 1);
}

/// The same for each form of an answer. The retry budget of one node does not suffice for all rows.
#[test]
fn callers_get_no_answer_of_any_form_with_status_000() {
    check_answers(STATUS_LINES.len() + 1..answers_to("").len());
}

/// Guards against a status of 000 that is no evidence on the health of its target.
#[test]
fn a_target_with_status_000_gets_few_requests() {
    build_runtime().block_on(async {
        let (broken, whole) = (Arc::default(), Arc::default());
        let targets = [
            start_target(&broken, Some(WHOLE_ROW + 1)).await,
            start_target(&whole, Some(WHOLE_ROW)).await,
        ];
        let world = world_with_targets(&targets).await;
        let mut told = Vec::new();
        for number in 0..200 {
            let route = ["fetch", "order"][number % 2];
            let (status, ..) = request(&world, route, &format!("{number}.{route}")).await;
            told.push((status, route));
        }
        let arrivals = [&broken, &whole].map(|seen| {
            let seen: &Mutex<SeenRequests> = seen;
            let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
            seen.arrivals.clone()
        });
        world.close(false).await;
        told.sort_unstable();
        let counts = arrivals
            .each_ref()
            .map(|arrivals| arrivals.values().sum::<usize>());
        let is_right = |told: &(u16, &str)| matches!(told, (200, _) | (502, "order"));
        assert!(told.iter().all(is_right), "{told:?}");
        let is_twice = |id: &&String| id.ends_with("order") && arrivals[1].contains_key(*id);
        let twice: Vec<_> = arrivals[0].keys().filter(is_twice).collect();
        assert!(twice.is_empty(), "orders that were sent twice: {twice:?}");
        assert!(counts[0] < counts[1] / 4, "{counts:?}");
    });
}
