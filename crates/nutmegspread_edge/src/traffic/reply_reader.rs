//! Reads answers of targets from the bytes of a connection.

use crate::traffic::target_reply::TargetReply;
use nutmegspread_platform::headers;
use std::time::Duration;
use thiserror::Error;

/// Most headers in an answer.
const MOST_HEADERS: usize = 64;
/// Largest head of an answer in bytes.
const HEAD_BYTES: usize = 64 * 1024;
/// Largest body of an answer in bytes; it is held whole before it goes on.
const BODY_BYTES: usize = 16 * 1024 * 1024;

/// Bytes that make up no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReplyError {
    /// The bytes are not HTTP.
    #[error("the bytes are no answer: {0}")]
    Malformed(String),
    /// The connection ended in the middle of an answer.
    #[error("the connection ended after {read} bytes of an answer")]
    CutOff {
        /// Bytes of the answer that came.
        read: usize,
    },
    /// The answer is larger than the node holds.
    #[error("the answer is larger than {limit} bytes")]
    TooLarge {
        /// The limit.
        limit: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum BodyLength {
    Known(usize),
    Chunked,
    /// The body ends with the connection.
    UntilEnd,
}

/// Reads answers of targets from the bytes of a connection.
#[derive(Debug, Default)]
pub struct ReplyReader {
    /// Bytes that were received and not used.
    pub buffer: Vec<u8>,
    head: Option<(TargetReply, BodyLength)>,
    /// Whether headers that go on to the caller are kept.
    keeps_headers: bool,
    /// Whether the request was one whose answer has no body.
    has_no_body: bool,
}

impl ReplyReader {
    /// Prepares for the answer to the next request.
    pub fn expect(&mut self, keeps_headers: bool, has_no_body: bool) {
        self.keeps_headers = keeps_headers;
        self.has_no_body = has_no_body;
    }

    /// Whether nothing of an answer was received.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty() && self.head.is_none()
    }

    /// Takes the next whole answer from the buffer; `has_ended` says that no more bytes come.
    ///
    /// # Errors
    /// When the bytes are no answer, or end in the middle of one.
    pub fn next(&mut self, has_ended: bool) -> Result<Option<TargetReply>, ReplyError> {
        while self.head.is_none() {
            match self.read_head()? {
                Some((reply, _)) if reply.status < 200 => {}
                Some(head) => self.head = Some(head),
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
            BodyLength::Known(length) if self.buffer.len() >= length => {
                Some(self.buffer.drain(..length).collect())
            }
            BodyLength::Known(_) => None,
            BodyLength::Chunked => self.read_chunks()?,
            BodyLength::UntilEnd if has_ended => Some(std::mem::take(&mut self.buffer)),
            BodyLength::UntilEnd => None,
        };
        match body {
            Some(body) => Ok(self
                .head
                .take()
                .map(|(reply, _)| TargetReply { body, ..reply })),
            None if has_ended => Err(ReplyError::CutOff {
                read: self.buffer.len(),
            }),
            None if self.buffer.len() > BODY_BYTES => {
                Err(ReplyError::TooLarge { limit: BODY_BYTES })
            }
            None => Ok(None),
        }
    }

    fn read_head(&mut self) -> Result<Option<(TargetReply, BodyLength)>, ReplyError> {
        let mut storage = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut response = httparse::Response::new(&mut storage);
        let length = match response.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.buffer.len() > HEAD_BYTES => {
                return Err(ReplyError::TooLarge { limit: HEAD_BYTES });
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(ReplyError::Malformed(error.to_string())),
        };
        let status = response.code.unwrap_or_default();
        let mut reply = TargetReply {
            status,
            closes: response.version == Some(0),
            ..TargetReply::default()
        };
        let mut body_length = None;
        let mut is_chunked = false;
        for header in response.headers.iter() {
            let value = header.value;
            match header.name {
                name if name.eq_ignore_ascii_case("content-length") => {
                    let stated = text(value).trim().parse::<usize>().map_err(|_| {
                        ReplyError::Malformed(format!("content-length {:?}", text(value)))
                    })?;
                    if body_length.is_some_and(|length| length != stated) {
                        return Err(ReplyError::Malformed("two lengths".to_owned()));
                    }
                    body_length = Some(stated);
                }
                name if name.eq_ignore_ascii_case("transfer-encoding") => {
                    is_chunked = text(value).to_ascii_lowercase().ends_with("chunked");
                }
                name if name.eq_ignore_ascii_case("connection") => {
                    reply.closes |= text(value).to_ascii_lowercase().contains("close");
                }
                name if name.eq_ignore_ascii_case("keep-alive") => reply.idle = idle_time(value),
                name if name.eq_ignore_ascii_case(headers::REQUEST_ID) => {
                    reply.request_id = Some(text(value).into_owned());
                    self.keep(&mut reply, name, value);
                }
                name if name.eq_ignore_ascii_case(headers::STAMP) => {
                    reply.stamp = Some(text(value).into_owned());
                    self.keep(&mut reply, name, value);
                }
                name if name.eq_ignore_ascii_case(headers::NOT_RUN) => reply.says_not_run = true,
                name if is_hop_by_hop(name) => {}
                name => {
                    reply.is_encoded |= name.eq_ignore_ascii_case("content-encoding");
                    self.keep(&mut reply, name, value);
                }
            }
        }
        let length_of_body = if self.has_no_body || status < 200 || status == 204 || status == 304 {
            BodyLength::Known(0)
        } else if is_chunked {
            BodyLength::Chunked
        } else {
            body_length.map_or(BodyLength::UntilEnd, BodyLength::Known)
        };
        if length_of_body == BodyLength::UntilEnd {
            reply.closes = true;
        }
        if body_length.is_some_and(|length| length > BODY_BYTES) {
            return Err(ReplyError::TooLarge { limit: BODY_BYTES });
        }
        self.buffer.drain(..length);
        Ok(Some((reply, length_of_body)))
    }

    fn keep(&self, reply: &mut TargetReply, name: &str, value: &[u8]) {
        if self.keeps_headers {
            reply.headers.push((name.to_owned(), value.to_vec()));
        }
    }

    /// Takes a chunked body from the buffer once it is whole.
    fn read_chunks(&mut self) -> Result<Option<Vec<u8>>, ReplyError> {
        let mut body = Vec::new();
        let mut at = 0;
        loop {
            let (start, size) = match httparse::parse_chunk_size(&self.buffer[at..]) {
                Ok(httparse::Status::Complete((start, size))) => (at + start, size as usize),
                Ok(httparse::Status::Partial) => return Ok(None),
                Err(_) => return Err(ReplyError::Malformed("chunk size".to_owned())),
            };
            if size > BODY_BYTES || body.len() + size > BODY_BYTES {
                return Err(ReplyError::TooLarge { limit: BODY_BYTES });
            }
            if size == 0 {
                let Some(end) = trailer_end(&self.buffer[start..]) else {
                    return Ok(None);
                };
                self.buffer.drain(..start + end);
                return Ok(Some(body));
            }
            let Some(chunk) = self.buffer.get(start..start + size + 2) else {
                return Ok(None);
            };
            if &chunk[size..] != b"\r\n" {
                return Err(ReplyError::Malformed("chunk without an end".to_owned()));
            }
            body.extend_from_slice(&chunk[..size]);
            at = start + size + 2;
        }
    }
}

/// Length of the trailers with the empty line after them.
fn trailer_end(bytes: &[u8]) -> Option<usize> {
    if bytes.starts_with(b"\r\n") {
        return Some(2);
    }
    bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|at| at + 4)
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

/// Whether a header concerns one connection only.
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
