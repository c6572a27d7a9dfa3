//! Answers whose head, chunk sizes or trailers are broken, and unusual ones that are valid.

use nutmegspread_edge::{ReplyError, ReplyReader, TargetReply};
use nutmegspread_platform::headers;

/// Id of the request whose answer is awaited.
const REQUEST: &str = "r1";
/// Body of the valid answers.
const BODY: &str = "hello";

/// A valid answer whose body has a length.
fn answer_with_length() -> String {
    let (stamp, id) = (headers::STAMP, headers::REQUEST_ID);
    format!(
        "HTTP/1.1 200 OK\r\n{stamp}: s\r\n{id}: {REQUEST}\r\ncontent-length: 5\r\nx-note: n\r\n\r\n{BODY}"
    )
}

/// A valid answer whose body comes in two chunks.
fn answer_in_chunks() -> String {
    let head = answer_with_length().replace("content-length: 5", "transfer-encoding: chunked");
    head.replace(BODY, "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n")
}

/// Gives a reader the bytes in pieces of `piece_bytes`, without an end of the connection.
fn read(bytes: &[u8], piece_bytes: usize) -> Result<Option<TargetReply>, ReplyError> {
    let mut reader = ReplyReader::default();
    reader.expect(true, false);
    for piece in bytes.chunks(piece_bytes) {
        reader.buffer.extend_from_slice(piece);
        if let Some(reply) = reader.next_for(REQUEST, false)? {
            return Ok(Some(reply));
        }
    }
    Ok(None)
}

/// Checks that an answer with any one of the changes is an error as soon as the changed part has
/// arrived. A change is a text and its replacement.
fn check_broken(answer: &str, changes: &[(&str, &str)]) {
    let mut accepted = Vec::new();
    for (text, replacement) in changes {
        assert!(answer.contains(text), "{text:?} is a part of the answer");
        let broken = answer.replacen(text, replacement, 1);
        for piece_bytes in [broken.len(), 1] {
            let end = read(broken.as_bytes(), piece_bytes);
            if !matches!(end, Err(ReplyError::Malformed(_))) {
                accepted.push(format!("{replacement:?} in {piece_bytes} bytes: {end:?}"));
            }
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}

/// Checks that an answer with any one of the changes is read with its whole body.
fn check_valid(answer: &str, changes: &[(&str, &str)]) {
    let mut refused = Vec::new();
    for (text, replacement) in changes {
        assert!(answer.contains(text), "{text:?} is a part of the answer");
        let changed = answer.replace(text, replacement);
        for piece_bytes in [changed.len(), 1] {
            match read(changed.as_bytes(), piece_bytes) {
                Ok(Some(reply)) if reply.body == BODY.as_bytes() => {}
                end => refused.push(format!("{replacement:?} in {piece_bytes} bytes: {end:?}")),
            }
        }
    }
    assert!(refused.is_empty(), "{refused:#?}");
}

/// Guards against a body that ends where a broken length or an unknown coding puts its end.
#[test]
fn an_answer_without_a_clear_length_is_an_error() {
    let length = "content-length: 5";
    check_broken(
        &answer_with_length(),
        &[
            (length, "content-length: +5"),
            (length, "content-length: -5"),
            (length, "content-length: \u{a0}5"),
            (length, "content-length: 5\u{a0}"),
            (length, "content-length:"),
            (length, "content-length: 5x"),
            (length, "content-length: 0x5"),
            (length, "content-length: 5 5"),
            (length, "content-length: 5, 6"),
            (length, "content-length: 5.0"),
            (length, "content-length: 18446744073709551621"),
            (length, "content-length: 5\r\ncontent-length: 4"),
            (length, "content-length: 5\r\ncontent-length: x"),
            (length, "content-length: 5\r\ntransfer-encoding: chunked"),
            (length, "transfer-encoding: chunked\r\ncontent-length: 5"),
            (length, "content-length: 5\r\ntransfer-encoding: chunke"),
            (length, "transfer-encoding: identity"),
            (length, "keep-alive: timeout=4"),
            (length, "connection: x, Keep-Alive"),
            (length, "c0ntent-length: 5\r\nconnection: keep-alive"),
            ("200 OK", "204 OK"),
        ],
    );
    let coding = "transfer-encoding: chunked";
    check_broken(
        &answer_in_chunks(),
        &[
            (coding, "transfer-encoding:"),
            (coding, "transfer-encoding: chunke"),
            (coding, "transfer-encoding: xchunked"),
            (coding, "transfer-encoding: chunked;q=1"),
            (coding, "transfer-encoding: gzip, chunked"),
            (coding, "transfer-encoding: chunked, gzip"),
            (coding, "transfer-encoding: chunked, chunked"),
            (coding, "transfer-encoding: chunked\r\ntransfer-encoding: x"),
            (coding, "transfer-encoding: x\r\ntransfer-encoding: chunked"),
            ("HTTP/1.1", "HTTP/1.0"),
        ],
    );
}

#[test]
fn lengths_of_unusual_form_are_read() {
    let length = "content-length: 5";
    check_valid(
        &answer_with_length(),
        &[
            (length, length),
            (length, "Content-Length:5"),
            (length, "CONTENT-LENGTH: \t 5 \t"),
            (length, "content-length: 005"),
            (length, "content-length: 5\r\ncontent-length: 5"),
            ("HTTP/1.1", "HTTP/1.0"),
        ],
    );
    let coding = "transfer-encoding: chunked";
    check_valid(
        &answer_in_chunks(),
        &[
            (coding, coding),
            (coding, "Transfer-Encoding:CHUNKED"),
            (coding, "transfer-encoding: , chunked ,"),
            (coding, "transfer-encoding:\r\ntransfer-encoding: chunked"),
        ],
    );
}

/// Guards against a head that ends early at a stray line end, so that the rest of its fields becomes a
/// part of the body.
#[test]
fn a_head_with_a_line_that_is_no_field_is_an_error() {
    let note = "x-note: n";
    check_broken(
        &answer_with_length(),
        &[
            (note, "x-note"),
            (note, "no field"),
            (note, ": n"),
            (note, "="),
            (note, " x-note: n"),
            (note, "HTTP/1.1 200 OK"),
            (note, "x-note: n\n"),
            (note, "x-note: n\r"),
            (note, "x-note: n\0"),
            (note, "x-note: \nn: n"),
            ("\r\nx-note", "\nx-note"),
            ("200 OK\r\n", "200 OK\n"),
            ("200 OK\r\n", "200 OK\r\n\n"),
        ],
    );
}

/// Guards against a broken name of a field that is passed on, or that ends the head early.
#[test]
fn a_field_name_with_a_blank_a_control_byte_or_a_separator_is_an_error() {
    let answer = answer_with_length();
    let separators = *b"\"(),/;<=>?@[\\]{}";
    let bytes = (0..=b' ').chain([0x7f]).chain(separators);
    let bytes = bytes.map(char::from).chain(['\u{e9}']);
    let names = [headers::STAMP, "content-length", "x-note"];
    let mut changes = Vec::new();
    for (byte, name) in bytes.flat_map(|byte| names.map(|name| (byte, name))) {
        for place in 0..=name.len() {
            let (start, end) = name.split_at(place);
            changes.push((format!("{name}:"), format!("{start}{byte}{end}:")));
        }
    }
    let changes: Vec<(&str, &str)> = changes
        .iter()
        .map(|(name, broken)| (name.as_str(), broken.as_str()))
        .collect();
    check_broken(&answer, &changes);
}

/// An interim answer may come first, and a head may end all of its lines without a carriage return.
#[test]
fn heads_of_unusual_form_are_read() {
    let answer = answer_with_length();
    check_valid(
        &answer,
        &[
            ("x-note: n", "x-note:"),
            ("x-note: n", "x!#$%&'*+-.^_`|~9: \u{e9}\t\""),
            ("HTTP/1.1 200 OK", "HTTP/1.1 200"),
            ("\r\n", "\n"),
            (
                "HTTP/1.1 200 OK",
                "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK",
            ),
            (
                "HTTP/1.1 200 OK",
                "HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK",
            ),
        ],
    );
}

/// Guards against a status below 100 that is taken for an interim answer, so that what follows is read
/// as the answer.
#[test]
fn a_status_that_does_not_exist_is_an_error() {
    let other = format!(
        "HTTP/1.1 200 OK\r\n{}: other\r\ncontent-length: 5\r\n\r\nother",
        headers::STAMP
    );
    let empty_answer = answer_with_length().replace("content-length: 5", "content-length: 0");
    let status = "200 OK";
    check_broken(
        &empty_answer.replace(BODY, &other),
        &[
            (status, "000 OK"),
            (status, "000"),
            (status, "000 200 OK"),
            (status, "000 OK\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK"),
            (status, "100 Continue\r\n\r\nHTTP/1.1 000 OK"),
            (status, "00 OK"),
            (status, "0 OK"),
            (status, "99 OK"),
            (status, "001 OK"),
            (status, "010 OK"),
            (status, "099 OK"),
            (status, "600 OK"),
            (status, "999 OK"),
            (status, "20 OK"),
            (status, "1000 OK"),
            (status, "2000 OK"),
            (status, "OOO OK"),
            (status, "+20 OK"),
            (status, "-00 OK"),
            (status, " 200 OK"),
            (status, "2x0 OK"),
            ("HTTP/1.1 200 OK", "HTTP/1.0 000 OK"),
        ],
    );
}

/// Guards against a body that ends early where the size of a chunk is lost.
#[test]
fn broken_chunks_are_an_error() {
    check_broken(
        &answer_in_chunks(),
        &[
            ("2\r\nlo", "\r\nlo"),
            ("2\r\nlo", "\r\n\r\nlo"),
            ("2\r\nlo", " \r\n\r\nlo"),
            ("2\r\nlo", ";\r\n\r\nlo"),
            ("2\r\nlo", ";size=2\r\n\r\nlo"),
            ("2\r\nlo", "0\r\nlo"),
            ("2\r\nlo", "+2\r\nlo"),
            ("2\r\nlo", "-2\r\nlo"),
            ("2\r\nlo", " 2\r\nlo"),
            ("2\r\nlo", "2 2\r\nlo"),
            ("2\r\nlo", "0x2\r\nlo"),
            ("2\r\nlo", "2\nlo"),
            ("2\r\nlo", "1\r\nlo"),
            ("2\r\nlo", "3\r\nlo"),
            ("2\r\nlo", "11111111111111111\r\nlo"),
            ("0\r\n\r\n", "\r\n\r\n"),
            ("0\r\n\r\n", "0\r\nno field\r\n\r\n"),
            ("0\r\n\r\n", "0\r\nx y: 1\r\n\r\n"),
            ("0\r\n\r\n", "0\r\nx\0: 1\r\n\r\n"),
            ("0\r\n\r\n", "0\r\nHTTP/1.1 200 OK\r\n\r\n"),
        ],
    );
}

#[test]
fn chunks_of_unusual_form_are_read() {
    check_valid(
        &answer_in_chunks(),
        &[
            ("2\r\nlo", "02\r\nlo"),
            ("2\r\nlo", "2 \r\nlo"),
            ("2\r\nlo", "2;name=\"value\"\r\nlo"),
            ("2\r\nlo\r\n0\r\n", "1\r\nl\r\n1\r\no\r\n000\r\n"),
            ("0\r\n\r\n", "0;x\r\n\r\n"),
            ("0\r\n\r\n", "0\r\nx-sum: 1\r\nx-note:\r\n\r\n"),
        ],
    );
}
