//! Checks of the promises, on the records of callers and searchers.

use crate::soak_caller::{CallOutcome, CallRecord};
use crate::soak_faults::{FaultSpan, SpanKind};
use crate::soak_world::{MIN_COVERAGE, SINGLE_SERVICE, STOP_GRACE, TOP_RECORDS};
use indexmap::{IndexMap, IndexSet};
use nutmegspread_platform_standin::{LedgerArrival, LedgerRun, answer_body};
use nutmegspread_tier::greatest_records;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Time within which nodes must apply a drain or a configuration while no fault disturbs them.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time after a searcher asked for a pause in which requests on their way may still arrive.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Largest number of requests of one node that may arrive after that during the pause.
const MAX_PAUSE_ARRIVALS: usize = 2;
/// Longest time from the arrival of a request at a searcher until its answer is passed on.
const ANSWER_SLACK: Duration = Duration::from_millis(1500);
/// Time after the end of a fault in which time limits are not checked.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time after a request was sent within which a stopping node may close the connection without having
/// read the request.
const UNREAD_CLOSE_TIME: Duration = Duration::from_millis(200);
/// Extra runs allowed for a service per window on top of `RETRY_RATIO`.
const RETRY_SLACK: f64 = 54.0;
/// Extra runs allowed per request to a service.
const RETRY_RATIO: f64 = 0.2;
/// Time over which requests and extra runs are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Fraction of requests that must be served after the nodes have recovered from all faults.
const MIN_SERVED_FRACTION: f64 = 0.95;

/// What callers, searchers and the fault driver recorded in one run.
pub struct SoakRecords {
    /// Requests of all callers, with their outcomes.
    pub calls: Vec<CallRecord>,
    /// Requests that searchers executed.
    pub runs: Vec<LedgerRun>,
    pub faults: Vec<FaultSpan>,
    /// Version of each configuration, when the store acknowledged it, and the shards in it.
    pub versions: Vec<(u64, Instant, Vec<String>)>,
    /// Nodes that received SIGTERM, and when.
    pub stops: Vec<(IpAddr, Instant)>,
    /// Searchers whose drain was written to the store, and when.
    pub drains: Vec<(String, Instant)>,
    /// Searchers whose connections a proxy disturbed, and from when to when.
    pub cuts: Vec<(String, Instant, Instant)>,
    /// Requests that arrived at searchers, in the order of their arrival.
    pub arrivals: Vec<LedgerArrival>,
    /// Time by which nodes must have recovered from the last fault.
    pub recovered_by: Instant,
}

/// Returns a line for each broken promise.
pub fn find_broken_promises(records: &SoakRecords) -> Vec<String> {
    let mut runs: IndexMap<&str, Vec<&LedgerRun>> = IndexMap::new();
    for run in &records.runs {
        runs.entry(&run.request_id).or_default().push(run);
    }
    let mut broken_promises = Vec::new();
    for record in &records.calls {
        let runs_of_request = runs.get(record.id.as_str()).map_or(&[][..], Vec::as_slice);
        if let Err(reason) = check_record(records, record, runs_of_request) {
            broken_promises.push(format!("{} on {}: {reason}", record.id, record.route));
        }
    }
    check_drains(records, &mut broken_promises);
    check_wishes(records, &mut broken_promises);
    check_extra_load(records, &mut broken_promises);
    check_recovery(records, &mut broken_promises);
    broken_promises
}

/// Checks the outcome of one request against the runs that it caused.
fn check_record(
    records: &SoakRecords,
    record: &CallRecord,
    runs: &[&LedgerRun],
) -> Result<(), String> {
    if record.route == "order" && runs.len() > 1 {
        return Err(format!("ran {} times", runs.len()));
    }
    match &record.outcome {
        CallOutcome::Answer {
            status: 200,
            stamps,
            missing,
            body,
        } if record.route == "gather" => check_gather(records, record, stamps, *missing, body),
        CallOutcome::Answer {
            status: 200,
            stamps,
            body,
            ..
        } => {
            check_stamp(stamps.first().map_or("", String::as_str), &record.id)?;
            if body[..] != answer_body(SINGLE_SERVICE, &record.id) {
                return Err("the body differs from the searcher's answer".to_owned());
            }
            Ok(())
        }
        CallOutcome::Answer {
            status: 503 | 429 | 408 | 421,
            ..
        } if !runs.is_empty() => Err("was refused as not executed, but was executed".to_owned()),
        CallOutcome::Answer {
            status: status @ (404 | 400),
            ..
        } => Err(format!(
            "was refused with {status}, although the route exists"
        )),
        CallOutcome::Closed(reason) => check_cut(records, record, runs, reason),
        _ => Ok(()),
    }
}

/// Checks that a stamp, whose three parts are separated by `/`, ends in the request id `id`; returns
/// its first part, the service.
fn check_stamp<'a>(stamp: &'a str, id: &str) -> Result<&'a str, String> {
    match stamp.split('/').collect::<Vec<_>>()[..] {
        [service, _, request_id] if request_id == id => Ok(service),
        _ => Err(format!("the stamp {stamp:?} belongs to another request")),
    }
}

/// Checks the answer of a gather: its shards belong to one configuration that is not outdated, enough
/// shards answered, and the body is merged from the answers of just these shards.
fn check_gather(
    records: &SoakRecords,
    record: &CallRecord,
    stamps: &[String],
    missing: usize,
    body: &[u8],
) -> Result<(), String> {
    let services: IndexSet<&str> = stamps
        .iter()
        .map(|stamp| check_stamp(stamp, &record.id))
        .collect::<Result<_, _>>()?;
    if services.len() != stamps.len() {
        return Err("a shard occurs twice in the stamps".to_owned());
    }
    let served_version = records.versions.iter().rfind(|(_, acknowledged, shards)| {
        *acknowledged <= record.ended
            && shards.len() == services.len() + missing
            && services
                .iter()
                .all(|service| shards.iter().any(|shard| shard == service))
    });
    let Some((_, _, shards)) = served_version else {
        return Err(format!(
            "no configuration has the shards {services:?} and {missing} more"
        ));
    };
    if (services.len() as f64) < MIN_COVERAGE * shards.len() as f64 {
        return Err(format!(
            "only {} of {} shards answered",
            services.len(),
            shards.len()
        ));
    }
    let parts: Vec<Vec<u8>> = services
        .iter()
        .map(|service| answer_body(service, &record.id))
        .collect();
    if body != greatest_records(parts.iter().map(Vec::as_slice), TOP_RECORDS) {
        return Err(
            "the body does not hold the greatest records of the shards in the stamps".to_owned(),
        );
    }
    let newest = records
        .versions
        .iter()
        .rfind(|(_, at, _)| *at + APPLY_TIME < record.sent);
    if let Some((version, at, newest)) = newest
        && newest != shards
        && !records
            .versions
            .iter()
            .any(|(_, later, set)| *later >= *at && set == shards)
        && !is_disturbed(records, *at, record.sent, Some(record.node))
    {
        return Err(format!(
            "was served with shards from before configuration {version}"
        ));
    }
    Ok(())
}

/// Checks that a planned stop did not cut a request that the node had read. Cuts are accepted while a
/// fault disturbs the node.
fn check_cut(
    records: &SoakRecords,
    record: &CallRecord,
    runs: &[&LedgerRun],
    reason: &str,
) -> Result<(), String> {
    let stop = records.stops.iter().find(|(node, at)| {
        *node == record.node && record.sent < *at + STOP_GRACE && *at < record.ended
    });
    let Some((_, stop)) = stop else { return Ok(()) };
    if is_disturbed(records, record.sent, record.ended, Some(record.node)) {
        return Ok(());
    }
    let waited = record.ended.saturating_duration_since(record.sent);
    if !runs.is_empty() || waited > UNREAD_CLOSE_TIME {
        let after = record.ended.saturating_duration_since(*stop);
        return Err(format!(
            "connection closed {after:?} after SIGTERM, {waited:?} after the request was sent: {reason}"
        ));
    }
    Ok(())
}

/// Whether a fault disturbed the node between `from` and `to`, or ended up to `SETTLE_TIME` before. A
/// fault without a node disturbs every node; without a node, all faults count.
fn is_disturbed(records: &SoakRecords, from: Instant, to: Instant, node: Option<IpAddr>) -> bool {
    records.faults.iter().any(|fault| {
        fault.kind != SpanKind::Planned
            && (fault.node.is_none() || node.is_none() || fault.node == node)
            && fault.from <= to
            && fault.to + SETTLE_TIME >= from
    })
}

/// Checks that drained searchers get no new work after `APPLY_TIME`.
fn check_drains(records: &SoakRecords, broken_promises: &mut Vec<String>) {
    for (searcher, at) in &records.drains {
        for run in records.runs.iter().filter(|run| run.searcher == *searcher) {
            if run.at > *at + APPLY_TIME && !is_disturbed(records, *at, run.at, None) {
                let after = run.at.duration_since(*at);
                broken_promises.push(format!(
                    "{} ran on {searcher} {after:?} after the drain of the searcher",
                    run.request_id
                ));
            }
        }
    }
}

/// Checks that no node sends requests to a searcher that has left, or during a pause that the searcher
/// asked it for.
fn check_wishes(records: &SoakRecords, broken_promises: &mut Vec<String>) {
    let calls: IndexMap<&str, &CallRecord> = records
        .calls
        .iter()
        .map(|record| (record.id.as_str(), record))
        .collect();
    let mut by_node: IndexMap<(IpAddr, &str), Vec<(&LedgerArrival, Instant)>> = IndexMap::new();
    for arrival in &records.arrivals {
        if let Some(record) = calls.get(arrival.request_id.as_str()) {
            let key = (record.node, arrival.searcher.as_str());
            by_node.entry(key).or_default().push((arrival, record.sent));
        }
    }
    for ((node, searcher), arrivals) in by_node {
        for (index, (asked, _)) in arrivals.iter().enumerate() {
            let later = &arrivals[index + 1..];
            if let Some(pause) = asked.pause {
                let span = asked.at + PAUSE_SLACK..asked.at + pause;
                let during = later
                    .iter()
                    .filter(|(arrival, _)| span.contains(&arrival.at));
                let is_excused = has_forgotten(records, node, searcher, asked.at, span.end);
                let count = during.count();
                if count > MAX_PAUSE_ARRIVALS && !is_excused {
                    broken_promises.push(format!(
                        "{count} requests of {node} reached {searcher} in its pause of {pause:?}"
                    ));
                }
            }
        }
        let leaving = arrivals.iter().find(|(arrival, _)| {
            arrival.is_leaving && !has_forgotten(records, node, searcher, arrival.at, arrival.at)
        });
        let Some((first, _)) = leaving else { continue };
        let left = first.at + APPLY_TIME + ANSWER_SLACK;
        for (arrival, sent) in &arrivals {
            if *sent > left && !has_forgotten(records, node, searcher, first.at, arrival.at) {
                broken_promises.push(format!(
                    "{} of {node} reached {searcher} {:?} after it said that it leaves",
                    arrival.request_id,
                    arrival.at - first.at
                ));
            }
        }
    }
}

/// Whether a node may have missed or forgotten between `from` and `to` what a searcher asked: it was
/// restarted or paused, or its connection to the searcher was disturbed.
fn has_forgotten(
    records: &SoakRecords,
    node: IpAddr,
    searcher: &str,
    from: Instant,
    to: Instant,
) -> bool {
    let of_node = |fault: &&FaultSpan| {
        fault.node == Some(node) && ["stop", "kill", "pause"].contains(&fault.name)
    };
    let mut spans = records.faults.iter().filter(of_node);
    spans.any(|fault| fault.from <= to && fault.to + SETTLE_TIME >= from)
        || records.cuts.iter().any(|(cut, cut_from, cut_to)| {
            cut == searcher && *cut_from <= to && *cut_to + ANSWER_SLACK >= from
        })
}

/// Checks that each service got no more extra runs in any window than its retry budget allows.
fn check_extra_load(records: &SoakRecords, broken_promises: &mut Vec<String>) {
    let mut first_runs: IndexSet<(&str, &str)> = IndexSet::new();
    let mut extra_runs: IndexMap<&str, Vec<Instant>> = IndexMap::new();
    for run in &records.runs {
        if !first_runs.insert((&run.request_id, &run.service)) {
            extra_runs.entry(&run.service).or_default().push(run.at);
        }
    }
    for (service, times) in extra_runs {
        for end in &times {
            let is_in_window = |at: &Instant| at <= end && *at + RETRY_WINDOW > *end;
            let extra_count = times.iter().filter(|at| is_in_window(at)).count() as f64;
            let request_count = first_runs
                .iter()
                .filter(|(_, of)| *of == service)
                .count()
                .min(
                    records
                        .calls
                        .iter()
                        .filter(|record| is_in_window(&record.sent))
                        .count(),
                );
            let max_extra_runs = RETRY_RATIO * request_count as f64 + RETRY_SLACK;
            if extra_count > max_extra_runs {
                broken_promises.push(format!(
                    "{service} got {extra_count} extra runs in a window; at most {max_extra_runs} are allowed"
                ));
                break;
            }
        }
    }
}

/// Checks that enough requests were served after the nodes had recovered.
fn check_recovery(records: &SoakRecords, broken_promises: &mut Vec<String>) {
    let fault_free_calls: Vec<&CallRecord> = records
        .calls
        .iter()
        // A caller that cancels early need not get an answer.
        .filter(|record| {
            record.sent >= records.recovered_by && !matches!(record.outcome, CallOutcome::TimedOut)
        })
        .collect();
    let served = fault_free_calls
        .iter()
        .filter(|record| matches!(record.outcome, CallOutcome::Answer { status: 200, .. }))
        .count();
    if fault_free_calls.len() < 20
        || (served as f64) < MIN_SERVED_FRACTION * fault_free_calls.len() as f64
    {
        broken_promises.push(format!(
            "only {served} of {} requests were served after the faults",
            fault_free_calls.len()
        ));
    }
}
