//! Writes the usage object and sends the reports of usage to the platform.

use crate::control::call_answer::CallAnswer;
use crate::control::call_guard::CallGuard;
use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use crate::control::server_call::ServerCall;
use crate::control::store_client::StoreClient;
use crate::control::usage_control::UsageControl;
use crate::{EdgeError, UsageCounter};
use bytes::Bytes;
use hyper::Method;
use nutmegspread_platform::{
    ObjectKind, USAGE_OBJECT, USAGE_PATH, decode_usage_record, encode_usage_record,
    encode_usage_report, usage_headers,
};
use nutmegspread_tier::{
    DutyAction, DutyEvent, ReportDuty, ReportOutcome, StoredUsage, UsageRecord, UsageReport,
    WriteOutcome,
};
use std::rc::Rc;
use std::time::Duration;

/// Time between checks for something to do.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that the first report after an answered one waits for an answer.
const FIRST_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest of these times, to which it doubles with each report without an answer.
const MAX_TIMEOUT: Duration = Duration::from_secs(4);

/// Carries out the actions of [`ReportDuty`] for as long as the process runs.
pub async fn report_usage(node: Rc<ControlNode>) {
    let mut client = node.store_client();
    let mut timeout = FIRST_TIMEOUT;
    loop {
        let (Some(usage), Some(counter)) = (&node.usage, &node.shared.usage) else {
            return std::future::pending().await;
        };
        observe_clocks(counter);
        let standing = node.state.borrow_mut().usage_standing(control_clock::now());
        let action = usage.next(&counter.time(), standing);
        match action {
            DutyAction::Wait => tokio::time::sleep(CHECK_INTERVAL).await,
            DutyAction::Read => {
                let read = read_record(&node, &mut client).await;
                apply(&node, usage, counter, |duty| {
                    let now = counter.time();
                    match read {
                        Ok(stored) => duty.apply_read(&now, stored),
                        Err(_) => duty.apply_failed_read(&now),
                    }
                });
            }
            DutyAction::Write { revision, record } => {
                let outcome = write_record(&node, &mut client, revision, &record).await;
                apply(&node, usage, counter, |duty| {
                    duty.apply_write(&counter.time(), outcome);
                });
            }
            DutyAction::Send(report) => {
                let outcome = send_report(&node, &report, timeout).await;
                timeout = match outcome {
                    ReportOutcome::Taken => FIRST_TIMEOUT,
                    ReportOutcome::Unknown => (timeout * 2).min(MAX_TIMEOUT),
                    ReportOutcome::NotSent => timeout,
                };
                apply(&node, usage, counter, |duty| {
                    duty.apply_report(&counter.time(), report.finalized.window, outcome);
                });
            }
        }
    }
}

fn observe_clocks(counter: &UsageCounter) {
    if let Some(change_ms) = counter.observe_clocks() {
        log::warn!(event = "usage_clock", change_ms;
            "the time of day has jumped, and the windows of usage follow it");
    }
}

/// Applies the result of an action, and logs what it changes.
fn apply(
    node: &ControlNode,
    usage: &UsageControl,
    counter: &UsageCounter,
    change: impl FnOnce(&mut ReportDuty),
) {
    let events = usage.apply(&counter.time(), change);
    let metrics = &node.shared.metrics;
    for event in &events {
        match event {
            DutyEvent::TakenOver { fence, before } => {
                let before = before.as_ref().map(|before| &*before.node);
                log::info!(event = "usage_holder", fence, before:? = before;
                    "this node reports usage from now on");
            }
            DutyEvent::Lost { holder, fence } => {
                log::info!(event = "usage_lost", holder:% = holder.node, fence;
                    "another node reports usage from now on");
            }
            DutyEvent::Skipped { first, last } => {
                metrics.add("usage_windows", "skipped", last - first + 1);
                log::error!(event = "usage_skipped", first, last;
                    "windows of usage are overdue by too much and are not reported");
            }
        }
    }
    if !events.is_empty() {
        let since = usage.held_since();
        metrics.set("usage_holder", f64::from(u8::from(since.is_some())));
        let since = since.map_or(0.0, |since| since.as_secs_f64());
        metrics.set("usage_holder_since_seconds", since);
    }
}

async fn read_record(
    node: &ControlNode,
    client: &mut StoreClient,
) -> Result<Option<StoredUsage>, EdgeError> {
    node.shared
        .metrics
        .count("store_calls", ObjectKind::Usage.name());
    let objects = match client.list(ObjectKind::Usage, false).await {
        Ok(list) => Ok(list.objects),
        // The store knows no object of the kind. Creating one fails if there is one nevertheless.
        Err(EdgeError::StoreStatus { status: 404, .. }) => Ok(Vec::new()),
        Err(error) => Err(error),
    };
    let stored = objects.and_then(|objects| {
        let object = objects.iter().find(|object| object.name == USAGE_OBJECT);
        object
            .map(|object| decode_usage_record(object).map_err(EdgeError::from))
            .transpose()
    });
    if let Err(error) = &stored {
        log::warn!(event = "usage_unread", reason:% = error;
            "reading the usage object failed; will retry");
    }
    stored
}

async fn write_record(
    node: &ControlNode,
    client: &mut StoreClient,
    revision: Option<u64>,
    record: &UsageRecord,
) -> WriteOutcome {
    node.shared
        .metrics
        .count("store_calls", ObjectKind::Usage.name());
    let written = match encode_usage_record(revision, record) {
        Ok(body) => {
            let is_new = revision.is_none();
            client
                .put_if(ObjectKind::Usage, USAGE_OBJECT, is_new, body)
                .await
        }
        Err(error) => Err(error.into()),
    };
    match written {
        Ok(revision) => WriteOutcome::Accepted(revision),
        Err(error) => {
            log::warn!(event = "usage_unwritten", fence = record.fence, write = record.write,
                revision, reason:% = error;
                "writing the usage object failed; it is read before anything else is done");
            WriteOutcome::Unknown
        }
    }
}

async fn send_report(
    node: &Rc<ControlNode>,
    report: &UsageReport,
    timeout: Duration,
) -> ReportOutcome {
    let (Some(usage), Some(counter)) = (&node.usage, &node.shared.usage) else {
        return ReportOutcome::NotSent;
    };
    let window = report.finalized.window;
    let sent = call_platform(node, usage, report, timeout).await;
    let schedule = counter.settings().schedule;
    let now = counter.time().true_time;
    let delay = now.saturating_sub(schedule.end(window));
    let late = now.saturating_sub(schedule.due(window));
    let (delay_ms, late_ms) = (delay.as_millis() as u64, late.as_millis() as u64);
    let metrics = &node.shared.metrics;
    match sent {
        Ok(_) => {
            usage.record_reported(window, delay);
            metrics.count("usage_reports", "taken");
            metrics.set("usage_window", window as f64);
            metrics.set("usage_report_delay_seconds", delay.as_secs_f64());
            let is_late = !late.is_zero();
            metrics.count("usage_windows", if is_late { "late" } else { "in_time" });
            log::info!(event = "usage_reported", window, fence = report.fence,
                tenants = report.finalized.counts.len(), delay_ms, late_ms;
                "the platform has taken a report of usage");
            ReportOutcome::Taken
        }
        Err(error) => {
            let is_sent = !matches!(error, EdgeError::NotPermitted { .. });
            metrics.count("usage_reports", if is_sent { "failed" } else { "not_sent" });
            log::warn!(event = "usage_unreported", window, fence = report.fence, delay_ms, late_ms,
                reason:% = error; "a report of usage got no answer; it is repeated");
            if is_sent {
                ReportOutcome::Unknown
            } else {
                ReportOutcome::NotSent
            }
        }
    }
}

async fn call_platform(
    node: &Rc<ControlNode>,
    usage: &UsageControl,
    report: &UsageReport,
    timeout: Duration,
) -> Result<CallAnswer, EdgeError> {
    let body = encode_usage_report(report)?;
    let guarded = Rc::clone(node);
    let guard = CallGuard::new(move || {
        let (usage, counter) = (&guarded.usage, &guarded.shared.usage);
        let may_send = usage.as_ref().zip(counter.as_ref());
        may_send.is_some_and(|(usage, counter)| usage.may_send(&counter.time()))
    });
    let call = ServerCall {
        headers: usage_headers(report),
        guard: Some(guard),
        timeout,
        ..ServerCall::send(Method::POST, USAGE_PATH.to_owned(), Bytes::from(body))
    };
    node.connect(usage.address).call(call).await
}
