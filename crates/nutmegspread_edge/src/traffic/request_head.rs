//! Request line and headers of a caller's request, as targets receive them.

use crate::traffic::reply_reader::is_hop_by_hop;
use bytes::Bytes;
use hyper::Method;
use hyper::header::{CONNECTION, HOST};
use hyper::http::request::Parts;
use indexmap::IndexSet;
use nutmegspread_platform::headers;
use nutmegspread_tier::TenantRecord;
use std::time::Duration;

/// Request line and headers of a caller's request, as targets receive them.
///
/// A head of many short headers takes tens of times its bytes as [`Parts`]. The node keeps this value
/// instead while it waits for the body or for targets, so that its memory is bounded by the bytes of
/// the head.
#[derive(Debug)]
pub struct RequestHead {
    /// Request id that the caller sent.
    pub id: Option<String>,
    /// Method of the request.
    pub method: Method,
    /// Time that the caller waits for the answer.
    pub caller_timeout: Option<Duration>,
    /// Request line and headers, without those that depend on the body.
    text: Vec<u8>,
}

impl RequestHead {
    /// Encodes the request line and headers for targets, without the headers that the node sets in each
    /// attempt. If the configuration has tenants, targets learn the name of the request's tenant, and
    /// never the key; otherwise both headers are passed on like any other.
    pub fn new(parts: &Parts, has_tenants: bool, tenant: Option<&TenantRecord>) -> Self {
        let caller_timeout = header_text(parts, headers::DEADLINE_MS)
            .and_then(|text| text.trim().parse::<f64>().ok())
            .filter(|millis| *millis >= 0.0)
            .and_then(|millis| Duration::try_from_secs_f64(millis / 1000.0).ok());
        let mut text = encode_headers(parts, has_tenants);
        if let Some(tenant) = tenant {
            text.extend_from_slice(format!("{}: {}\r\n", headers::TENANT, tenant.name).as_bytes());
        }
        text.shrink_to_fit();
        Self {
            id: request_id(parts).map(str::to_owned),
            method: parts.method.clone(),
            caller_timeout,
            text,
        }
    }

    /// Returns the request line and headers for a request with this body.
    pub fn complete(self, body: &Bytes) -> Vec<u8> {
        let mut text = self.text;
        if !body.is_empty() || !matches!(self.method, Method::GET | Method::HEAD | Method::DELETE) {
            text.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
        }
        text
    }
}

/// Encodes the request line and the headers that the node passes on.
fn encode_headers(parts: &Parts, has_tenants: bool) -> Vec<u8> {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut text = Vec::with_capacity(512);
    text.extend_from_slice(parts.method.as_str().as_bytes());
    text.push(b' ');
    text.extend_from_slice(path.as_bytes());
    text.extend_from_slice(b" HTTP/1.1\r\n");
    if !parts.headers.contains_key(HOST)
        && let Some(authority) = parts.uri.authority()
    {
        text.extend_from_slice(format!("host: {authority}\r\n").as_bytes());
    }
    // A set, because a head may hold thousands of headers and name thousands of them here.
    let connection_headers: IndexSet<String> = parts
        .headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for (name, value) in &parts.headers {
        let name = name.as_str();
        if is_replaced_header(name)
            || (has_tenants && is_tenant_header(name))
            || is_hop_by_hop(name)
            || connection_headers.contains(name)
        {
            continue;
        }
        text.extend_from_slice(name.as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(value.as_bytes());
        text.extend_from_slice(b"\r\n");
    }
    text
}

/// Whether the node replaces or removes this header.
fn is_replaced_header(name: &str) -> bool {
    matches!(
        name,
        headers::DEADLINE_MS
            | headers::EXPECTED_TARGET
            | "content-length"
            | "transfer-encoding"
            | "expect"
    )
}

/// Whether this header names the key or the tenant of a request.
fn is_tenant_header(name: &str) -> bool {
    matches!(name, headers::KEY | headers::TENANT)
}

/// Request id that the caller sent.
pub fn request_id(parts: &Parts) -> Option<&str> {
    header_text(parts, headers::REQUEST_ID)
}

/// First value of a header, if it is text.
pub fn header_text<'a>(parts: &'a Parts, name: &str) -> Option<&'a str> {
    parts
        .headers
        .get(name)
        .and_then(|value| value.to_str().ok())
}
