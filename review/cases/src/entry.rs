//! An entry of another writer that cannot be read, and a restart of all nodes.

use crate::client::{Clients, call};
use crate::searcher::{Plan, Searcher};
use crate::store::PAGE_BYTES;
use crate::world::{Clock, HOST, Record, World, configuration, service_route};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of nodes.
const NODES: usize = 7;
/// Deadline of a client and timeout of the route.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Time for which all nodes are down.
const DOWN: Duration = Duration::from_millis(1400);
/// `recoveryS` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time of the traffic before the entry, before the final fault, and after the recovery.
const BEFORE_ENTRY: Duration = Duration::from_secs(8);
const BEFORE_FAULT: Duration = Duration::from_secs(8);
const AFTER_RECOVERY: Duration = Duration::from_secs(20);

/// Bytes of an entry that cannot be read: a string that is not UTF-8. The whole object is as large
/// as the store allows.
fn odd_entry() -> Vec<u8> {
    const META_BYTES: usize = 200;
    let mut entry = b"{\"service\":\"jobbook\",\"note\":\"".to_vec();
    entry.resize(PAGE_BYTES - META_BYTES, 0xff);
    entry.extend_from_slice(b"\"}");
    entry
}

/// Runs the case; returns what broke the rule.
pub async fn run(has_trouble: bool, path: &Path) -> std::io::Result<Vec<String>> {
    let timeout_ms = DEADLINE.as_millis() as u64;
    let routes = [service_route("job", "jobbook", true, timeout_ms, 200)];
    let mut world = World::start(NODES, &configuration(3, &routes, &["jobbook"], 98)).await?;
    for (number, id) in ["i-1", "i-2", "i-7", "i-8"].into_iter().enumerate() {
        let zone = ["gp-midrand", "gp-centurion"][number % 2];
        Searcher::start(&world, Plan::sound(id, "jobbook", zone)).await?;
    }
    if !world.wait_until_ready().await {
        return Err(std::io::Error::other("the nodes did not become ready"));
    }
    let clients = Arc::new(Clients::new(&world));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let at_start = send_for(BEFORE_ENTRY, &clients, &world).await;
    if has_trouble {
        let entry = odd_entry();
        world.record.note(
            &world.clock,
            format!("another writer puts servers/i-5 with {} bytes", entry.len()),
        );
        world.store.put("servers", "i-5", &entry);
    }
    let before_fault = send_for(BEFORE_FAULT, &clients, &world).await;
    for node in &mut world.nodes {
        node.kill();
    }
    world
        .record
        .note(&world.clock, "all nodes are killed".to_owned());
    tokio::time::sleep(DOWN).await;
    for node in &mut world.nodes {
        node.start()?;
    }
    world
        .record
        .note(&world.clock, "all nodes are started again".to_owned());
    let in_recovery = send_for(RECOVERY, &clients, &world).await;
    let afterwards = send_for(AFTER_RECOVERY, &clients, &world).await;
    let mut summary = Vec::new();
    for (name, served) in [
        ("before the entry", &at_start),
        ("before the final fault", &before_fault),
        ("in the recovery", &in_recovery),
        ("after the recovery", &afterwards),
    ] {
        summary.push(format!("{name}: served {} of {}", served.0, served.1));
    }
    for line in &summary {
        println!("{line}");
    }
    let share = |(served, sent): (usize, usize)| served as f64 / sent.max(1) as f64;
    if share(before_fault) < 0.25 {
        return Err(std::io::Error::other(
            "too little was served before the final fault",
        ));
    }
    let mut broken = Vec::new();
    if share(afterwards) < 0.25 {
        broken.push(format!(
            "RECOVER {} of {} requests were served later than {} s after the nodes were back",
            afterwards.0,
            afterwards.1,
            RECOVERY.as_secs()
        ));
    }
    summary.extend(broken.iter().map(|line| format!("broken: {line}")));
    world.record.write(path, &summary)?;
    Ok(broken)
}

/// Sends requests; returns how many were served, and how many were sent.
async fn send_for(time: Duration, clients: &Arc<Clients>, world: &World) -> (usize, usize) {
    let end = Instant::now() + time;
    let mut sent = Vec::new();
    while Instant::now() < end {
        let clients = Arc::clone(clients);
        let (clock, record) = (Arc::clone(&world.clock), Arc::clone(&world.record));
        sent.push(tokio::spawn(async move {
            fetch(&clients, &clock, &record).await
        }));
        tokio::time::sleep(PAUSE).await;
    }
    let count = sent.len();
    let mut served = 0;
    for request in sent {
        served += usize::from(request.await.unwrap_or(false));
    }
    (served, count)
}

/// Sends a request; returns whether it was served.
async fn fetch(clients: &Clients, clock: &Clock, record: &Record) -> bool {
    let Some(address) = clients.pick().await else {
        return false;
    };
    let id = clock.next_id();
    let request = format!(
        "GET /job/1 HTTP/1.1\r\nHost: {HOST}\r\nNutmegspread-Request-Id: {id}\r\n\
         Nutmegspread-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    record.note(clock, format!("sent {id} to {address}"));
    let answer = call(address, request.as_bytes(), DEADLINE).await;
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    record.answer(clock, &id, status);
    answer.is_some_and(|answer| {
        answer.status == 200 && answer.header("nutmegspread-server-stamp").is_some()
    })
}
