//! Answers to callers from the answers of targets.

use crate::traffic::caller_refusal::{CallerAnswer, status_answer};
use crate::traffic::held_bytes::HeldBody;
use crate::traffic::open_request::OpenRequest;
use crate::traffic::target_reply::TargetReply;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use nutmegspread_platform::headers;
use nutmegspread_tier::{RouteDestination, greatest_records};

/// Merges the answers of the shards into one answer, which states how many are missing.
pub fn merged_answer(request: &OpenRequest) -> CallerAnswer {
    let RouteDestination::Gather(rule) = &request.route.destination else {
        return status_answer(StatusCode::BAD_GATEWAY);
    };
    let parts = request.parts.borrow();
    let answered = parts.iter().flatten();
    let body = greatest_records(
        answered.clone().map(|reply| reply.body.as_slice()),
        rule.top,
    );
    let stamps: Vec<&str> = answered
        .filter_map(|reply| reply.stamp.as_deref())
        .collect();
    let missing = parts.len() - stamps.len();
    let held = parts.iter().flatten().find_map(|reply| reply.held.as_ref());
    let held = held.map(|held| held.beside(body.len()));
    let body = HeldBody::new(body, held);
    let mut answer = Response::new(Full::new(Bytes::from_owner(body)));
    let values = [
        (headers::PART_STAMPS, stamps.join(", ")),
        (headers::MISSING_PARTS, missing.to_string()),
        (headers::REQUEST_ID, request.id.clone()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            answer
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
    answer
}

/// Returns an answer with the status, headers and body of a target's answer.
pub fn forwarded_answer(reply: TargetReply) -> CallerAnswer {
    let body = HeldBody::new(reply.body, reply.held);
    let mut answer = Response::new(Full::new(Bytes::from_owner(body)));
    *answer.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in reply.headers {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            answer.headers_mut().append(name, value);
        }
    }
    answer
}
