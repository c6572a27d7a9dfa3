//! Where the body of an answer ends, by the head of the answer.

use crate::traffic::reply_reader::{MAX_BODY_BYTES, ReplyError, check_size, malformed};
use httparse::{Header, Response};

/// Header with the length of a body in bytes.
const CONTENT_LENGTH: &str = "content-length";
/// Header with the codings of a body, of which `chunked` marks its end.
const TRANSFER_ENCODING: &str = "transfer-encoding";

/// Where the body of an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// After this number of bytes.
    Known(usize),
    /// After the last chunk.
    Chunked,
    /// With the connection.
    UntilEnd,
}

impl BodyFraming {
    /// Determines where the body ends (RFC 9112, section 6.3). `has_no_body` states that the answer
    /// has none whatever its head says, as for a HEAD request.
    ///
    /// # Errors
    /// When the head states the end of the body in an invalid or contradictory way, or a length above
    /// the limit.
    pub fn of_head(head: &Response, has_no_body: bool) -> Result<Self, ReplyError> {
        let status = head.code.unwrap_or_default();
        let length = content_length(head.headers)?;
        let is_chunked = is_chunked(head.headers)?;
        if is_chunked && length.is_some() {
            return Err(malformed("both content-length and transfer-encoding"));
        }
        if is_chunked && head.version == Some(0) {
            return Err(malformed("transfer-encoding in an answer of HTTP/1.0"));
        }
        let is_bodiless = status < 200 || status == 204;
        if let Some(length) = length.filter(|length| is_bodiless && *length > 0) {
            return Err(malformed(&format!(
                "content-length {length} with status {status}"
            )));
        }
        let framing = if has_no_body || is_bodiless || status == 304 {
            Self::Known(0)
        } else if is_chunked {
            Self::Chunked
        } else {
            length.map_or(Self::UntilEnd, Self::Known)
        };
        // The end of such a connection does not show that the body is complete.
        if framing == Self::UntilEnd && keeps_connection(head.headers) {
            return Err(malformed("no length on a connection that stays open"));
        }
        Ok(framing)
    }
}

/// Whether a header states where the body ends, so that it is not forwarded.
pub fn is_framing_header(name: &str) -> bool {
    name.eq_ignore_ascii_case(CONTENT_LENGTH) || name.eq_ignore_ascii_case(TRANSFER_ENCODING)
}

/// Returns the length that the headers state; a repeated header must have the same value.
fn content_length(headers: &[Header]) -> Result<Option<usize>, ReplyError> {
    let mut stated_length = None;
    for value in values_of(headers, CONTENT_LENGTH) {
        let length = parse_length(value).ok_or_else(|| {
            let value = String::from_utf8_lossy(value);
            malformed(&format!("invalid content-length {value:?}"))
        })?;
        if stated_length.is_some_and(|stated| stated != length) {
            return Err(malformed("different content-length headers"));
        }
        check_size(length, MAX_BODY_BYTES)?;
        stated_length = Some(length);
    }
    Ok(stated_length)
}

/// Parses a number of bytes. `usize::from_str` alone would accept a sign.
fn parse_length(value: &[u8]) -> Option<usize> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    str::from_utf8(value).ok()?.parse().ok()
}

/// Whether the body comes in chunks. Any other coding is an error, because its body would have to be
/// decoded before it is forwarded.
fn is_chunked(headers: &[Header]) -> Result<bool, ReplyError> {
    if values_of(headers, TRANSFER_ENCODING).next().is_none() {
        return Ok(false);
    }
    let codings: Vec<&[u8]> = elements_of(headers, TRANSFER_ENCODING).collect();
    match codings[..] {
        [coding] if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => {
            let codings = codings.join(&b',');
            let codings = String::from_utf8_lossy(&codings);
            Err(malformed(&format!("unknown transfer-encoding {codings:?}")))
        }
    }
}

/// Whether the headers state that the connection stays open after the answer.
fn keeps_connection(headers: &[Header]) -> bool {
    let has_option = |name: &[u8]| {
        elements_of(headers, "connection").any(|option| option.eq_ignore_ascii_case(name))
    };
    let is_kept = has_option(b"keep-alive") || values_of(headers, "keep-alive").next().is_some();
    is_kept && !has_option(b"close")
}

/// Elements of the lists in the headers of this name. Empty ones are ignored (RFC 9110, section
/// 5.6.1).
fn elements_of<'a>(headers: &'a [Header], name: &str) -> impl Iterator<Item = &'a [u8]> {
    values_of(headers, name)
        .flat_map(|value| value.split(|byte| *byte == b','))
        .map(<[u8]>::trim_ascii)
        .filter(|element| !element.is_empty())
}

fn values_of<'a>(headers: &'a [Header], name: &str) -> impl Iterator<Item = &'a [u8]> {
    let has_name = move |header: &&Header| header.name.eq_ignore_ascii_case(name);
    headers.iter().filter(has_name).map(|header| header.value)
}
