//! Serves requests of callers.

use crate::traffic::access_check::check_access;
use crate::traffic::caller_answer::{forwarded_answer, merged_answer};
use crate::traffic::caller_refusal::{
    CallerAnswer, refusal_answer, refuse, refuse_body, status_answer,
};
use crate::traffic::open_request::OpenRequest;
use crate::traffic::request_head::{RequestHead, header_text, request_id};
use crate::traffic::request_usage::RequestUsage;
use crate::traffic::traffic_state::TrafficState;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, StatusCode};
use nutmegspread_caller::CallerConnection;
use nutmegspread_tier::{
    AnswerTiming, GatherProgress, GatherRun, RepeatRule, RouteDestination, RouteTable, ServiceName,
    ServiceRoute, TenantRecord,
};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// `Retry-After` of a refusal while the node has no configuration yet.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(150);
/// `Retry-After` of such a refusal while the store does not answer; outages usually last seconds.
const STORE_LOST_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` of a refusal because no target could run the request.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` of a refusal because too few services are in reach of this node, or because it
/// stops; another node may serve the request at once.
const OUT_OF_REACH_RETRY_AFTER: Duration = Duration::from_millis(5);

/// Serves one request of a caller.
pub async fn handle_request(
    traffic: Rc<TrafficState>,
    caller: Arc<CallerConnection>,
    request: Request<Incoming>,
) -> Result<CallerAnswer, Infallible> {
    traffic.open.set(traffic.open.get() + 1);
    let _open_count = OpenCount(Rc::clone(&traffic));
    caller.begin_request();
    let mut answer = serve(&traffic, &caller, request).await;
    caller.end_request();
    if traffic.shared.leaving.load(Ordering::Relaxed) {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

/// Counts a request as open until this value is dropped.
struct OpenCount(Rc<TrafficState>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Ends a request whose caller closes the connection: the future that serves the request is then
/// dropped, and this guard with it.
struct CallerGuard {
    traffic: Rc<TrafficState>,
    request: Rc<OpenRequest>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.request.is_over.get() {
            let open_attempts = self.request.open_attempts();
            self.traffic.end_request(&self.request, true);
            self.traffic
                .admission
                .record_end(&self.request, Instant::now());
            log_request_end(&self.traffic, &self.request, &open_attempts, "left", 0);
        }
    }
}

async fn serve(
    traffic: &Rc<TrafficState>,
    caller: &CallerConnection,
    request: Request<Incoming>,
) -> CallerAnswer {
    let arrived = Instant::now();
    // The view is read after the confirmation, so that it is not older than what was confirmed.
    let confirmation = traffic.shared.confirmation.age(arrived);
    let view = traffic.apply_newest_view(arrived);
    let (parts, body) = request.into_parts();
    let Some(table) = &view.table else {
        let reaches_store = traffic.shared.reaches_store.load(Ordering::Relaxed);
        let retry_after = if reaches_store {
            NO_CONFIGURATION_RETRY_AFTER
        } else {
            STORE_LOST_RETRY_AFTER
        };
        return refuse(traffic, request_id(&parts), "no_configuration", retry_after);
    };
    let host = header_text(&parts, "host").or_else(|| {
        parts
            .uri
            .authority()
            .map(hyper::http::uri::Authority::as_str)
    });
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let Some(route) = host.and_then(|host| table.find(host, path)) else {
        log::info!(event = "no_route", request = request_id(&parts), host, path,
            version = table.version; "no route matches");
        traffic.shared.metrics.count("requests", "no_route");
        return status_answer(StatusCode::NOT_FOUND);
    };
    let tenant = match check_access(traffic, &parts, route, table, confirmation) {
        Ok(tenant) => tenant,
        Err(answer) => return *answer,
    };
    // The request can't be answered in time before this node ends; other nodes may serve it.
    if let Some(answer_by) = traffic.shared.answer_by.get()
        && arrived + route.objective > *answer_by
    {
        return refuse(
            traffic,
            request_id(&parts),
            "leaving",
            OUT_OF_REACH_RETRY_AFTER,
        );
    }
    let head = RequestHead::new(&parts, table.tenants.is_some(), tenant.as_deref());
    drop(parts);
    let body = match caller.read_body(body, table.limits.body_bytes).await {
        Ok(body) => body,
        Err(refusal) => return refuse_body(traffic, head.id.as_deref(), refusal),
    };
    let id = head.id.clone();
    let Some(request) = open_request(traffic, head, body, route, tenant, table, arrived) else {
        return refuse(
            traffic,
            id.as_deref(),
            "no_part_of_the_split",
            NO_TARGET_RETRY_AFTER,
        );
    };
    let least_parts = request.run.borrow().least_parts();
    if !traffic.admits(&request, least_parts, arrived) {
        request.is_over.set(true);
        return refuse(
            traffic,
            id.as_deref(),
            "out_of_reach",
            OUT_OF_REACH_RETRY_AFTER,
        );
    }
    let refusal = traffic.admission.refuse(&request, table, Instant::now());
    if let Some(refusal) = refusal {
        request.is_over.set(true);
        return refusal_answer(refusal.retry_after);
    }
    traffic.count_request(&request.services, arrived);
    if !traffic.start(&request, arrived) {
        request.is_over.set(true);
        let retry_after = traffic.retry_after(&request, arrived, NO_TARGET_RETRY_AFTER);
        return refuse(traffic, id.as_deref(), "no_target", retry_after);
    }
    let guard = CallerGuard {
        traffic: Rc::clone(traffic),
        request: Rc::clone(&request),
    };
    let progress = wait_for_answer(traffic, &request).await;
    let open_attempts = request.open_attempts();
    traffic.end_request(&request, false);
    drop(guard);
    traffic.admission.record_end(&request, Instant::now());
    let answer = answer_caller(traffic, &request, progress, &open_attempts);
    // Attempts that are still open hold the request.
    request.parts.borrow_mut().clear();
    request.failure.borrow_mut().take();
    answer
}

/// Sends further attempts when they are due, until the request is answered or can no longer be. Once
/// a stopping node has to answer, the request ends with what has arrived.
async fn wait_for_answer(traffic: &Rc<TrafficState>, request: &Rc<OpenRequest>) -> GatherProgress {
    loop {
        traffic.apply_newest_view(Instant::now());
        traffic.advance(request, Instant::now());
        let answer_by = traffic.shared.answer_by.get().copied();
        let elapsed = match answer_by {
            Some(answer_by) if Instant::now() >= answer_by => Duration::MAX,
            _ => request.arrived.elapsed(),
        };
        let progress = request.run.borrow().progress(elapsed);
        let GatherProgress::Wait(next) = progress else {
            return progress;
        };
        if request.was_turned_away.get() && !traffic.may_be_taken(request, Instant::now()) {
            return request.run.borrow().give_up();
        }
        let next = request.arrived + next;
        let next = answer_by.map_or(next, |answer_by| next.min(answer_by));
        tokio::select! {
            () = request.changed.notified() => {}
            () = traffic.stopping.notified() => {}
            () = tokio::time::sleep_until(next.into()) => {}
        }
    }
}

/// Returns the answer for the caller after the last progress of a request, and logs its end.
fn answer_caller(
    traffic: &Rc<TrafficState>,
    request: &Rc<OpenRequest>,
    progress: GatherProgress,
    open_attempts: &[String],
) -> CallerAnswer {
    // If no byte was written, the request has not run on any target, and the attempts that waited
    // for a connection have been withdrawn by now. It can be refused, so that the caller may safely
    // retry.
    let progress = match progress {
        GatherProgress::TimeOut | GatherProgress::Fail if !request.was_sent.get() => {
            GatherProgress::Refuse
        }
        progress => progress,
    };
    match progress {
        GatherProgress::Answer if request.is_gather => {
            let answer = merged_answer(request);
            let missing = request.services.len() - request.run.borrow().answered();
            log_request_end(
                traffic,
                request,
                open_attempts,
                if missing == 0 { "whole" } else { "partial" },
                200,
            );
            answer
        }
        GatherProgress::Answer => match request.parts.borrow_mut()[0].take() {
            Some(reply) => {
                log_request_end(traffic, request, open_attempts, "passed_on", reply.status);
                forwarded_answer(reply)
            }
            None => status_answer(StatusCode::BAD_GATEWAY),
        },
        GatherProgress::Refuse => {
            log_request_end(traffic, request, open_attempts, "refused", 503);
            let now = Instant::now();
            refusal_answer(traffic.retry_after(request, now, NO_TARGET_RETRY_AFTER))
        }
        GatherProgress::TimeOut => {
            log_request_end(traffic, request, open_attempts, "timed_out", 504);
            status_answer(StatusCode::GATEWAY_TIMEOUT)
        }
        GatherProgress::Fail | GatherProgress::Wait(_) => {
            let failure = request.failure.borrow_mut().take();
            match failure {
                // A failure that guarantees nothing is forwarded unchanged, with the signature of the
                // target.
                Some(reply) if !request.is_gather && reply.may_be_forwarded(request.repeat) => {
                    log_request_end(
                        traffic,
                        request,
                        open_attempts,
                        "failure_passed_on",
                        reply.status,
                    );
                    forwarded_answer(reply)
                }
                _ => {
                    log_request_end(traffic, request, open_attempts, "failed", 502);
                    status_answer(StatusCode::BAD_GATEWAY)
                }
            }
        }
    }
}

/// Creates the state of a request. Returns `None` if no part of its split has a weight above 0.
fn open_request(
    traffic: &Rc<TrafficState>,
    head: RequestHead,
    body: Bytes,
    route: &Arc<ServiceRoute>,
    tenant: Option<Arc<TenantRecord>>,
    table: &RouteTable,
    arrived: Instant,
) -> Option<Rc<OpenRequest>> {
    let (services, least_parts): (Arc<[ServiceName]>, usize) = match &route.destination {
        RouteDestination::Service(service) => (Arc::new([Arc::clone(service)]), 1),
        RouteDestination::Split(parts) => {
            let part = traffic.with_route(&route.name, |state| {
                state.split.pick(parts.iter().map(|(_, weight)| *weight))
            })?;
            (Arc::new([Arc::clone(&parts[part].0)]), 1)
        }
        RouteDestination::Gather(rule) => (Arc::clone(&rule.shards), rule.least_parts()),
    };
    let time_limit = head.caller_timeout.map_or(route.timeout, |caller_timeout| {
        caller_timeout.min(route.timeout)
    });
    let time_limit = traffic
        .shared
        .answer_by
        .get()
        .map_or(time_limit, |answer_by| {
            time_limit.min(answer_by.saturating_duration_since(arrived))
        });
    let is_gather = matches!(route.destination, RouteDestination::Gather(_));
    let repeat = if is_gather {
        RepeatRule::Idempotent
    } else {
        route.repeat
    };
    let timing = traffic.with_route(&route.name, |state| {
        AnswerTiming::new(
            &traffic.timing,
            &state.latencies,
            route.objective,
            time_limit,
        )
    });
    Some(Rc::new(OpenRequest {
        id: head.id.clone().unwrap_or_default(),
        route: Arc::clone(route),
        version: table.version,
        is_gather,
        repeat,
        arrived,
        time_limit,
        priority: tenant
            .as_ref()
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.priority),
        usage: RequestUsage::new(&traffic.shared, tenant.as_deref()),
        tenant,
        is_head: head.method == Method::HEAD,
        head: head.complete(&body),
        body,
        run: RefCell::new(GatherRun::new(
            timing,
            repeat,
            route.attempts,
            services.len(),
            least_parts,
        )),
        parts: RefCell::new(services.iter().map(|_| None).collect()),
        services,
        failure: RefCell::new(None),
        attempts: RefCell::new(Vec::new()),
        connections: RefCell::default(),
        changed: Notify::new(),
        was_sent: Cell::new(false),
        was_turned_away: Cell::new(false),
        is_over: Cell::new(false),
    }))
}

/// Logs the end of a request with the values that decided its outcome, and counts it.
fn log_request_end(
    traffic: &TrafficState,
    request: &OpenRequest,
    open_attempts: &[String],
    outcome: &'static str,
    status: u16,
) {
    let run = request.run.borrow();
    let elapsed = request.arrived.elapsed();
    let timing = run.timing();
    let view = traffic.shared.view.load();
    let missing: Vec<&str> = (0..request.services.len())
        .filter(|service| !run.is_answered(*service))
        .map(|service| &*request.services[service])
        .collect();
    // Unsuccessful requests are logged as warnings, which have a higher limit on lines per second.
    let is_routine = matches!(outcome, "whole" | "passed_on" | "left");
    let level = if is_routine {
        log::Level::Info
    } else {
        log::Level::Warn
    };
    log::log!(level, event = "request", request = request.id.as_str(), route:% = request.route.name,
        tenant = request.tenant_name(), version = request.version, outcome, status, taken_us = elapsed.as_micros() as u64,
        parts = run.answered(), services = request.services.len(), extra = run.extra_attempts(),
        missing:? = missing, open:? = open_attempts, hedge_us = timing.hedge.as_micros() as u64,
        answer_us = timing.answer.as_micros() as u64, view = view.number,
        view_ms = view.made.elapsed().as_millis() as u64; "request ended");
    traffic.shared.metrics.count("requests", outcome);
    traffic
        .shared
        .metrics
        .record("request", &request.route.name, elapsed);
}
