//! Cases with requests that may run at most once.

use crate::client::{Clients, call};
use crate::searcher::{Fault, Plan, Searcher};
use crate::world::{Clock, Dice, HOST, Record, World, configuration, service_route};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of nodes.
const NODES: usize = 7;
/// Deadline of a client and timeout of the route, in milliseconds.
const DEADLINE_MS: u64 = 2000;
/// Time at the end in which no new requests are sent.
const LAST_ANSWERS: Duration = Duration::from_secs(4);
/// Length of a disruption and of the pause after it.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const PAUSE_TIME: Duration = Duration::from_secs(3);

/// Rule that a case checks.
enum Rule {
    /// No order runs more than once.
    Twice,
    /// No order that is answered with 408, 421, 429 or 503 runs.
    Refused,
}

/// What differs between the cases.
struct Case {
    rule: Rule,
    /// Fault of the first searcher; the others are sound.
    fault: Fault,
    /// Number of searchers.
    searchers: usize,
    /// Whether the zone of the second searcher is evacuated, also without the disruption.
    is_evacuated: bool,
    /// Orders a second, with their retries not counted.
    rate: f64,
    /// Time in which orders are sent, in seconds.
    length_s: u64,
}

impl Case {
    fn named(name: &str) -> Option<Self> {
        let failure = |rule, status| Self {
            rule,
            fault: Fault::FailsWith(status, 0.4),
            searchers: 8,
            is_evacuated: false,
            rate: 200.0,
            length_s: 45,
        };
        match name {
            "late-extra" => Some(Self {
                rule: Rule::Twice,
                fault: Fault::ExtraLate(0.04),
                searchers: 2,
                is_evacuated: true,
                rate: 135.0,
                length_s: 75,
            }),
            "failure-503" => Some(failure(Rule::Refused, 503)),
            "failure-429" => Some(failure(Rule::Twice, 429)),
            _ => None,
        }
    }
}

/// Runs a case; returns what broke the rule.
pub async fn run(case: &str, has_trouble: bool, path: &Path) -> std::io::Result<Vec<String>> {
    let Some(case) = Case::named(case) else {
        return Err(std::io::Error::other(format!("no case {case}")));
    };
    let routes = [service_route("order", "jobbook", false, DEADLINE_MS, 200)];
    let world = World::start(NODES, &configuration(3, &routes, &["jobbook"], 98)).await?;
    for number in 0..case.searchers {
        let zone = ["gp-midrand", "gp-centurion"][number % 2];
        let plan = Plan {
            slots: 2,
            queue: 2,
            work_ms: (5.0, 15.0),
            fault: if number == 0 { case.fault } else { Fault::None },
            ..Plan::sound(&format!("i-{}", number + 1), "jobbook", zone)
        };
        Searcher::start(&world, plan).await?;
    }
    if case.is_evacuated {
        world.store.put("evacuations", "gp-centurion", b"{}");
    }
    if !world.wait_until_ready().await {
        return Err(std::io::Error::other("the nodes did not become ready"));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let clients = Arc::new(Clients::new(&world));
    let start = Instant::now();
    let end = start + Duration::from_secs(case.length_s);
    let dice = Dice::new(u64::from(std::process::id()) << 20);
    let mut next = Instant::now();
    while Instant::now() < end {
        let phase = start.elapsed().as_millis() % (TROUBLE_TIME + PAUSE_TIME).as_millis();
        let is_trouble = has_trouble && phase < TROUBLE_TIME.as_millis();
        if is_trouble != world.clock.is_trouble() {
            world.clock.set_trouble(is_trouble);
            let text = if is_trouble { "begins" } else { "ends" };
            world
                .record
                .note(&world.clock, format!("the disruption {text}"));
        }
        next += Duration::from_secs_f64(-(1.0 - dice.roll()).ln() / case.rate);
        tokio::time::sleep_until(next.into()).await;
        let caller = Caller {
            clock: Arc::clone(&world.clock),
            record: Arc::clone(&world.record),
            clients: Arc::clone(&clients),
        };
        tokio::spawn(async move { caller.order().await });
    }
    world.clock.set_trouble(false);
    tokio::time::sleep(LAST_ANSWERS).await;
    let broken: Vec<String> = match case.rule {
        Rule::Twice => world.record.twice(),
        Rule::Refused => world.record.refused(),
    };
    let mut summary = vec![
        format!("answers by status: {:?}", world.record.statuses()),
        format!("requests that ran: {}", world.record.run_count()),
    ];
    summary.extend(broken.iter().map(|line| format!("broken: {line}")));
    for line in &summary[..2] {
        println!("{line}");
    }
    world.record.write(path, &summary)?;
    Ok(broken)
}

/// A client with one order.
struct Caller {
    clock: Arc<Clock>,
    record: Arc<Record>,
    clients: Arc<Clients>,
}

impl Caller {
    /// Sends an order, and once more after a promise that it has not run.
    async fn order(&self) {
        let started = Instant::now();
        for attempt in 0..2 {
            let left = Duration::from_millis(DEADLINE_MS).saturating_sub(started.elapsed());
            let Some(address) = self.clients.pick().await else {
                return;
            };
            let id = self.clock.next_id();
            let body = format!("{{\"order\":\"{id}\"}}");
            let request = format!(
                "POST /order/new HTTP/1.1\r\nHost: {HOST}\r\nNutmegspread-Request-Id: {id}\r\n\
                 Nutmegspread-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
                left.as_millis(),
                body.len()
            );
            self.record
                .note(&self.clock, format!("sent {id} to {address}"));
            let answer = call(address, request.as_bytes(), left).await;
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            self.record.answer(&self.clock, &id, status);
            let Some(answer) = answer.filter(|_| matches!(status, 408 | 421 | 429 | 503)) else {
                return;
            };
            let wait: f64 = answer
                .header("retry-after")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0.05);
            let left = Duration::from_millis(DEADLINE_MS).saturating_sub(started.elapsed());
            if attempt == 0 {
                tokio::time::sleep(Duration::from_secs_f64(wait).min(left / 3)).await;
            }
        }
    }
}
