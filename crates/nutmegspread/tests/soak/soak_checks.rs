//! The promises, checked from what callers and searchers saw.

use crate::soak_caller::{CallerRecord, CallerSight};
use crate::soak_faults::{FaultSpan, SpanKind};
use crate::soak_world::{GRACE, LEAST_COVERAGE, SINGLE_SERVICE, TOP_RECORDS};
use indexmap::{IndexMap, IndexSet};
use nutmegspread_platform_standin::{LedgerRun, answer_body};
use nutmegspread_tier::greatest_records;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Time that nodes have to take a drain or a configuration over while nothing disturbs them.
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time after a disturbance for which bounds do not hold.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time after the last byte of a request within which a stopping node may close unread.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Extra runs that a service bears in a window beside the ratio.
const RETRY_SLACK: f64 = 54.0;
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Share of requests that must be served once all faults are over.
const LEAST_SERVED: f64 = 0.95;

/// Everything that a run brought.
pub struct SoakRecords {
    pub callers: Vec<CallerRecord>,
    pub runs: Vec<LedgerRun>,
    pub faults: Vec<FaultSpan>,
    pub versions: Vec<(u64, Instant, Vec<String>)>,
    /// When each node was asked to stop.
    pub stops: Vec<(IpAddr, Instant)>,
    /// When each searcher began to leave.
    pub drains: Vec<(String, Instant)>,
    /// When the last fault was over and nodes had settled.
    pub calm_from: Instant,
}

/// Every broken promise, one line each.
pub fn broken_promises(records: &SoakRecords) -> Vec<String> {
    let mut runs: IndexMap<&str, Vec<&LedgerRun>> = IndexMap::new();
    for run in &records.runs {
        runs.entry(&run.request_id).or_default().push(run);
    }
    let mut broken = Vec::new();
    for record in &records.callers {
        let of_request = runs.get(record.id.as_str()).map_or(&[][..], Vec::as_slice);
        if let Err(reason) = check_record(records, record, of_request) {
            broken.push(format!("{} on {}: {reason}", record.id, record.route));
        }
    }
    check_drains(records, &mut broken);
    check_extra_load(records, &mut broken);
    check_recovery(records, &mut broken);
    broken
}

fn check_record(
    records: &SoakRecords,
    record: &CallerRecord,
    runs: &[&LedgerRun],
) -> Result<(), String> {
    if record.route == "order" && runs.len() > 1 {
        return Err(format!("ran {} times", runs.len()));
    }
    match &record.seen {
        CallerSight::Answer {
            status: 200,
            stamps,
            missing,
            body,
        } if record.route == "gather" => check_gather(records, record, stamps, *missing, body),
        CallerSight::Answer {
            status: 200,
            stamps,
            body,
            ..
        } => {
            check_stamp(stamps.first().map_or("", String::as_str), &record.id)?;
            if body[..] != answer_body(SINGLE_SERVICE, &record.id) {
                return Err("the body is not the searcher's".to_owned());
            }
            Ok(())
        }
        CallerSight::Answer {
            status: 503 | 429 | 408 | 421,
            ..
        } if !runs.is_empty() => Err("was said not to have run, but ran".to_owned()),
        CallerSight::Answer {
            status: status @ (404 | 400),
            ..
        } => Err(format!("was denied with {status}")),
        CallerSight::Closed(reason) => check_cut(records, record, runs, reason),
        _ => Ok(()),
    }
}

fn check_stamp<'a>(stamp: &'a str, id: &str) -> Result<&'a str, String> {
    match stamp.split('/').collect::<Vec<_>>()[..] {
        [service, _, of] if of == id => Ok(service),
        _ => Err(format!("the signature {stamp:?} is not for this request")),
    }
}

fn check_gather(
    records: &SoakRecords,
    record: &CallerRecord,
    stamps: &[String],
    missing: usize,
    body: &[u8],
) -> Result<(), String> {
    let services: IndexSet<&str> = stamps
        .iter()
        .map(|stamp| check_stamp(stamp, &record.id))
        .collect::<Result<_, _>>()?;
    if services.len() != stamps.len() {
        return Err("a shard is named twice".to_owned());
    }
    let matching = records.versions.iter().rfind(|(_, acknowledged, shards)| {
        *acknowledged <= record.ended
            && shards.len() == services.len() + missing
            && services
                .iter()
                .all(|service| shards.iter().any(|shard| shard == service))
    });
    let Some((_, _, shards)) = matching else {
        return Err(format!("no version names {services:?} and {missing} more"));
    };
    if (services.len() as f64) < LEAST_COVERAGE * shards.len() as f64 {
        return Err(format!("only {} of {} parts", services.len(), shards.len()));
    }
    let parts: Vec<Vec<u8>> = services
        .iter()
        .map(|service| answer_body(service, &record.id))
        .collect();
    if body != greatest_records(parts.iter().map(Vec::as_slice), TOP_RECORDS) {
        return Err("the body is not the greatest records of its parts".to_owned());
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
        return Err(format!("is served by a set from before version {version}"));
    }
    Ok(())
}

/// A planned stop alone must cut no request that the node has read.
fn check_cut(
    records: &SoakRecords,
    record: &CallerRecord,
    runs: &[&LedgerRun],
    reason: &str,
) -> Result<(), String> {
    let stop = records
        .stops
        .iter()
        .find(|(node, at)| *node == record.node && record.sent < *at + GRACE && *at < record.ended);
    let Some((_, stop)) = stop else { return Ok(()) };
    if is_disturbed(records, record.sent, record.ended, Some(record.node)) {
        return Ok(());
    }
    let waited = record.ended.saturating_duration_since(record.sent);
    if !runs.is_empty() || waited > LOSS_SLACK {
        let after = record.ended.saturating_duration_since(*stop);
        return Err(format!(
            "cut {after:?} after a planned stop, having waited {waited:?}: {reason}"
        ));
    }
    Ok(())
}

/// Whether something unplanned went on for the node, or for all, shortly before or in a span.
fn is_disturbed(records: &SoakRecords, from: Instant, to: Instant, node: Option<IpAddr>) -> bool {
    records.faults.iter().any(|fault| {
        fault.kind != SpanKind::Planned
            && (fault.node.is_none() || node.is_none() || fault.node == node)
            && fault.from <= to
            && fault.to + SETTLE_TIME >= from
    })
}

fn check_drains(records: &SoakRecords, broken: &mut Vec<String>) {
    for (searcher, at) in &records.drains {
        for run in records.runs.iter().filter(|run| run.searcher == *searcher) {
            if run.at > *at + APPLY_TIME && !is_disturbed(records, *at, run.at, None) {
                let after = run.at.duration_since(*at);
                broken.push(format!(
                    "{} ran at {searcher} {after:?} after its drain",
                    run.request_id
                ));
            }
        }
    }
}

fn check_extra_load(records: &SoakRecords, broken: &mut Vec<String>) {
    let mut seen: IndexSet<(&str, &str)> = IndexSet::new();
    let mut extra: IndexMap<&str, Vec<Instant>> = IndexMap::new();
    for run in &records.runs {
        if !seen.insert((&run.request_id, &run.service)) {
            extra.entry(&run.service).or_default().push(run.at);
        }
    }
    for (service, times) in extra {
        for end in &times {
            let is_in = |at: &Instant| at <= end && *at + RETRY_WINDOW > *end;
            let extras = times.iter().filter(|at| is_in(at)).count() as f64;
            let asked = seen.iter().filter(|(_, of)| *of == service).count().min(
                records
                    .callers
                    .iter()
                    .filter(|record| is_in(&record.sent))
                    .count(),
            );
            let bound = RETRY_RATIO * asked as f64 + RETRY_SLACK;
            if extras > bound {
                broken.push(format!(
                    "{service} got {extras} extra runs, with a bound of {bound}"
                ));
                break;
            }
        }
    }
}

fn check_recovery(records: &SoakRecords, broken: &mut Vec<String>) {
    let calm: Vec<&CallerRecord> = records
        .callers
        .iter()
        // Callers that leave early are not owed an answer.
        .filter(|record| {
            record.sent >= records.calm_from && !matches!(record.seen, CallerSight::TimedOut)
        })
        .collect();
    let served = calm
        .iter()
        .filter(|record| matches!(record.seen, CallerSight::Answer { status: 200, .. }))
        .count();
    if calm.len() < 20 || (served as f64) < LEAST_SERVED * calm.len() as f64 {
        broken.push(format!(
            "{served} of {} requests served after the faults",
            calm.len()
        ));
    }
}
