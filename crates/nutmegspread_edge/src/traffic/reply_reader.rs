//! Incremental parser for the HTTP/1.1 answers of a target on one connection.

use crate::traffic::body_framing::{BodyFraming, is_framing_header};
use crate::traffic::line_ends::has_mixed_line_ends;
use crate::traffic::reply_wishes::ReplyWishes;
use crate::traffic::status_line::{ANSWER_START, holds_status_line};
use crate::traffic::target_reply::TargetReply;
use nutmegspread_platform::headers;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Statuses that answers may have (RFC 9110, section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;
/// Largest number of headers in an answer.
const MAX_HEADERS: usize = 64;
/// Largest size of the status line and headers of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest body of an answer in bytes; the whole body is buffered before it is forwarded.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Most bytes that the framing of a body's chunks may take.
const MAX_FRAMING_BYTES: usize = 1024 * 1024;
/// Size of a body from which it takes over the buffer, which is copied otherwise, and capacity that
/// the buffer keeps between answers, in bytes.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;
/// Largest number of interim answers before an answer.
const MAX_INTERIM_ANSWERS: usize = 16;
/// Largest number of answers to other requests before the awaited one.
const MAX_CROSSED_ANSWERS: usize = 8;

/// Why received bytes are not a complete answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReplyError {
    /// The bytes are not valid HTTP.
    #[error("the answer is not valid HTTP: {0}")]
    Malformed(String),
    /// The connection ended before the answer was complete.
    #[error("the connection ended after {read} bytes of an answer")]
    CutOff {
        /// Bytes left in the buffer: the head if it is incomplete, otherwise the body received so
        /// far.
        read: usize,
    },
    /// The head or body exceeds its size limit.
    #[error("the answer is larger than {limit} bytes")]
    TooLarge {
        /// The limit that was exceeded, in bytes.
        limit: usize,
    },
}

/// Incremental parser for the HTTP/1.1 answers of a target on one connection.
#[derive(Debug, Default)]
pub struct ReplyReader {
    /// Bytes that were received but not parsed yet.
    pub buffer: Vec<u8>,
    head: Option<(TargetReply, BodyFraming)>,
    /// Chunks of the body that were parsed.
    chunks: Vec<u8>,
    /// Bytes of the framing of these chunks.
    framing_bytes: usize,
    /// Number of interim answers before this one.
    interim_answers: usize,
    /// What the target asks in the heads that were parsed last.
    wishes: ReplyWishes,
    /// Whether to keep the headers that are forwarded to the caller.
    keeps_headers: bool,
    /// Whether the answer has no body whatever its headers say, as for a HEAD request.
    has_no_body: bool,
}

impl ReplyReader {
    /// Sets how the next answer is parsed: whether to keep its headers for the caller, and whether
    /// it has no body because the request was a HEAD request.
    pub fn expect(&mut self, keeps_headers: bool, has_no_body: bool) {
        self.keeps_headers = keeps_headers;
        self.has_no_body = has_no_body;
    }

    /// Whether no bytes of an answer are pending.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty() && self.head.is_none()
    }

    /// Returns what the target asks in the heads parsed since the last call, also of answers that are
    /// not complete.
    pub fn take_wishes(&mut self) -> ReplyWishes {
        std::mem::take(&mut self.wishes)
    }

    /// Number of bytes that the reader holds.
    pub fn held_bytes(&self) -> usize {
        self.buffer.len() + self.chunks.len()
    }

    /// Returns the answer to the request with this id once it is complete, or an answer without an id.
    /// Answers to other requests, as second copies of earlier ones, are skipped.
    ///
    /// # Errors
    /// Those of [`Self::next`]; also when other answers are too many or have no length, or when the body
    /// holds another answer, so that its own end follows it. Other bytes after an answer belong to no
    /// request and do it no harm.
    pub fn next_for(
        &mut self,
        request_id: &str,
        has_ended: bool,
    ) -> Result<Option<TargetReply>, ReplyError> {
        let is_other = |id: Option<&str>| id.is_some_and(|id| id != request_id);
        for _ in 0..=MAX_CROSSED_ANSWERS {
            let Some(reply) = self.next(has_ended)? else {
                return match &self.head {
                    Some((reply, BodyFraming::UntilEnd))
                        if is_other(reply.request_id.as_deref()) =>
                    {
                        Err(malformed("an answer to another request has no length"))
                    }
                    _ => Ok(None),
                };
            };
            if !is_other(reply.request_id.as_deref()) {
                let length = self.buffer.len().min(ANSWER_START.len());
                let has_rest = self.buffer[..length] != ANSWER_START[..length];
                // The body may end within the status line of the other answer.
                if has_rest && holds_status_line(&[&reply.body[..], &self.buffer].concat()) {
                    return Err(malformed("another answer in the middle of a body"));
                }
                return Ok(Some(reply));
            }
            log::info!(event = "crossed_answer", request = request_id,
                answered = reply.request_id.as_deref(); "skipped an answer to another request");
        }
        Err(malformed("too many answers to other requests"))
    }

    /// Returns the next answer once it is complete, and removes its bytes from the buffer. Interim
    /// answers are skipped. `has_ended` states whether the connection has ended, so that no more
    /// bytes follow.
    ///
    /// # Errors
    /// When the bytes are not valid HTTP, end before the answer is complete, or exceed a size
    /// limit.
    pub fn next(&mut self, has_ended: bool) -> Result<Option<TargetReply>, ReplyError> {
        while self.head.is_none() {
            match self.read_head()? {
                Some((reply, _)) if reply.status < 200 => {
                    self.interim_answers += 1;
                    if self.interim_answers > MAX_INTERIM_ANSWERS {
                        return Err(ReplyError::Malformed(format!(
                            "more than {MAX_INTERIM_ANSWERS} interim answers"
                        )));
                    }
                }
                Some(head) => {
                    self.head = Some(head);
                    self.interim_answers = 0;
                }
                None if has_ended => {
                    return Err(ReplyError::CutOff {
                        read: self.buffer.len(),
                    });
                }
                None => return Ok(None),
            }
        }
        let Some((_, length)) = &self.head else {
            return Ok(None);
        };
        let body = match *length {
            BodyFraming::Known(length) if self.buffer.len() >= length => {
                Some(self.take_from_buffer(length))
            }
            BodyFraming::Known(_) => None,
            BodyFraming::Chunked => self.read_chunked_body()?,
            BodyFraming::UntilEnd if has_ended => Some(std::mem::take(&mut self.buffer)),
            BodyFraming::UntilEnd => None,
        };
        match body {
            Some(body) => {
                if self.buffer.capacity() > KEPT_BUFFER_BYTES {
                    self.buffer.shrink_to(KEPT_BUFFER_BYTES);
                }
                let head = self.head.take();
                Ok(head.map(|(reply, _)| TargetReply { body, ..reply }))
            }
            None if has_ended => Err(ReplyError::CutOff {
                read: self.held_bytes(),
            }),
            None if self.buffer.len() > MAX_BODY_BYTES => Err(ReplyError::TooLarge {
                limit: MAX_BODY_BYTES,
            }),
            None => Ok(None),
        }
    }

    /// Removes the first `length` bytes from the buffer.
    fn take_from_buffer(&mut self, length: usize) -> Vec<u8> {
        if length < KEPT_BUFFER_BYTES {
            return self.buffer.drain(..length).collect();
        }
        let rest = self.buffer.split_off(length);
        std::mem::replace(&mut self.buffer, rest)
    }

    fn read_head(&mut self) -> Result<Option<(TargetReply, BodyFraming)>, ReplyError> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut storage);
        let length = match response.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.buffer.len() > MAX_HEAD_BYTES => {
                return Err(ReplyError::TooLarge {
                    limit: MAX_HEAD_BYTES,
                });
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(ReplyError::Malformed(error.to_string())),
        };
        if holds_status_line(&self.buffer[1..length]) {
            return Err(malformed("two status lines in one head"));
        }
        if has_mixed_line_ends(&self.buffer[..length]) {
            return Err(malformed("different line ends in one head"));
        }
        let status = response.code.unwrap_or_default();
        if !VALID_STATUSES.contains(&status) {
            return Err(malformed(&format!("status {status:03}")));
        }
        let framing = BodyFraming::of_head(&response, self.has_no_body)?;
        let mut reply = TargetReply {
            status,
            closes: response.version == Some(0) || framing == BodyFraming::UntilEnd,
            ..TargetReply::default()
        };
        for header in response.headers.iter() {
            let value = header.value;
            match header.name {
                name if name.eq_ignore_ascii_case("connection") => {
                    reply.closes |= text(value).to_ascii_lowercase().contains("close");
                }
                name if name.eq_ignore_ascii_case("keep-alive") => reply.idle = idle_time(value),
                name if name.eq_ignore_ascii_case(headers::REQUEST_ID) => {
                    reply.request_id = Some(text(value).into_owned());
                    self.keep_header(&mut reply, name, value);
                }
                name if name.eq_ignore_ascii_case(headers::STAMP) => {
                    reply.stamp = Some(text(value).into_owned());
                    self.keep_header(&mut reply, name, value);
                }
                name if name.eq_ignore_ascii_case(headers::NOT_RUN) => reply.says_not_run = true,
                name if name.eq_ignore_ascii_case(headers::LEAVING) => {
                    self.wishes.add_leaving(&text(value));
                }
                name if status == 503 && name.eq_ignore_ascii_case(headers::RETRY_AFTER) => {
                    self.wishes.add_pause(&text(value));
                    self.keep_header(&mut reply, name, value);
                }
                name if is_hop_by_hop(name) || is_framing_header(name) => {}
                name => {
                    reply.is_encoded |= name.eq_ignore_ascii_case("content-encoding");
                    self.keep_header(&mut reply, name, value);
                }
            }
        }
        self.buffer.drain(..length);
        Ok(Some((reply, framing)))
    }

    fn keep_header(&self, reply: &mut TargetReply, name: &str, value: &[u8]) {
        if self.keeps_headers {
            reply.headers.push((name.to_owned(), value.to_vec()));
        }
    }

    /// Returns a chunked body once it is complete, and removes the bytes of parsed chunks from the
    /// buffer.
    fn read_chunked_body(&mut self) -> Result<Option<Vec<u8>>, ReplyError> {
        let mut at = 0;
        let end = loop {
            let bytes = &self.buffer[at..];
            // httparse takes a line without digits for the size 0, which ends the body.
            if bytes.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
                return Err(malformed("chunk size without digits"));
            }
            let (start, size) = match httparse::parse_chunk_size(bytes) {
                Ok(httparse::Status::Complete((start, size))) => (start, size as usize),
                Ok(httparse::Status::Partial) => {
                    check_size(bytes.len(), MAX_HEAD_BYTES)?;
                    break None;
                }
                Err(_) => return Err(ReplyError::Malformed("invalid chunk size".to_owned())),
            };
            check_size(size, MAX_BODY_BYTES)?;
            check_size(self.chunks.len() + size, MAX_BODY_BYTES)?;
            check_size(self.framing_bytes, MAX_FRAMING_BYTES)?;
            if size == 0 {
                let end = trailer_end(&bytes[start..])?.map(|end| at + start + end);
                if end.is_none() {
                    check_size(bytes.len(), MAX_HEAD_BYTES)?;
                }
                break end;
            }
            let Some(chunk) = bytes.get(start..start + size + 2) else {
                break None;
            };
            if &chunk[size..] != b"\r\n" {
                return Err(ReplyError::Malformed(
                    "chunk data is not followed by a line end".to_owned(),
                ));
            }
            self.chunks.extend_from_slice(&chunk[..size]);
            self.framing_bytes += start + 2;
            at += start + size + 2;
        };
        self.buffer.drain(..end.unwrap_or(at));
        Ok(end.map(|_| {
            self.framing_bytes = 0;
            std::mem::take(&mut self.chunks)
        }))
    }
}

/// Returns the error of an answer that is not valid HTTP.
pub fn malformed(reason: &str) -> ReplyError {
    ReplyError::Malformed(reason.to_owned())
}

/// Returns an error if `size` exceeds `limit`.
pub fn check_size(size: usize, limit: usize) -> Result<(), ReplyError> {
    if size > limit {
        return Err(ReplyError::TooLarge { limit });
    }
    Ok(())
}

/// Returns the length of the trailers with the empty line after them; `None` if they are
/// incomplete.
///
/// # Errors
/// When the trailers are not valid fields, as the rest of a body after a chunk whose size is broken.
fn trailer_end(bytes: &[u8]) -> Result<Option<usize>, ReplyError> {
    if bytes.starts_with(b"\r\n") {
        return Ok(Some(2));
    }
    let Some(last_line) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Ok(None);
    };
    let end = last_line + 4;
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(&bytes[..end], &mut storage) {
        Ok(httparse::Status::Complete((length, _))) if length == end => Ok(Some(end)),
        Ok(_) => Err(malformed("trailers that end early")),
        Err(error) => Err(ReplyError::Malformed(format!("invalid trailers: {error}"))),
    }
}

fn text(value: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(value)
}

fn idle_time(value: &[u8]) -> Option<Duration> {
    let text = text(value);
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Whether a header applies to a single connection, so that it is not forwarded.
pub fn is_hop_by_hop(name: &str) -> bool {
    const NAMES: [&str; 7] = [
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
        "proxy-authenticate",
        "keep-alive",
        "connection",
    ];
    NAMES.iter().any(|known| name.eq_ignore_ascii_case(known))
}
