//! Answers of targets, whole, broken, crossed and without a length.

use nutmegspread_edge::{ReplyError, ReplyReader, TargetReply};
use nutmegspread_platform::headers;

/// Feeds `pieces` one by one; returns the answers, and how the connection's bytes ended.
fn read(pieces: &[&[u8]], has_ended: bool) -> (Vec<TargetReply>, Result<usize, ReplyError>) {
    let mut reader = ReplyReader::default();
    reader.expect(true, false);
    let mut replies = Vec::new();
    for (number, piece) in pieces.iter().enumerate() {
        reader.buffer.extend_from_slice(piece);
        let is_last = has_ended && number + 1 == pieces.len();
        loop {
            match reader.next(is_last) {
                Ok(Some(reply)) => replies.push(reply),
                Ok(None) => break,
                Err(error) => return (replies, Err(error)),
            }
            if reader.is_empty() {
                break;
            }
        }
    }
    (replies, Ok(reader.buffer.len()))
}

/// A whole answer with every header that matters.
fn whole_text() -> Vec<u8> {
    let (stamp, id) = (headers::STAMP, headers::REQUEST_ID);
    format!(
        "HTTP/1.1 200 OK
{stamp}: s.1
{id}: r1
Content-Length: 5
\
         Keep-Alive: timeout=4, max=9

hello"
    )
    .into_bytes()
}

#[test]
fn an_answer_is_read_the_same_however_its_bytes_arrive() {
    let (whole, rest) = read(&[&whole_text()], false);
    assert_eq!(rest, Ok(0));
    assert_eq!((whole[0].status, &whole[0].body[..]), (200, &b"hello"[..]));
    assert_eq!(whole[0].stamp.as_deref(), Some("s.1"));
    assert_eq!(whole[0].idle.map(|idle| idle.as_secs()), Some(4));
    assert!(whole[0].is_success() && !whole[0].closes);
    let text = whole_text();
    let bytes: Vec<&[u8]> = text.chunks(1).collect();
    assert_eq!(read(&bytes, false).0, whole);
}

#[test]
fn chunks_are_joined_and_trailers_left_out() {
    let not_run = headers::NOT_RUN;
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\
         T: 1\r\n\r\nHTTP/1.1 503 X\r\nContent-Length: 0\r\n{not_run}: 1\r\n\r\n"
    );
    let (replies, rest) = read(&[text.as_bytes()], false);
    assert_eq!(rest, Ok(0));
    assert_eq!(&replies[0].body[..], b"abcde");
    assert!(replies[1].is_not_run());
}

#[test]
fn an_answer_without_length_ends_with_its_connection_only() {
    let text = format!("HTTP/1.1 200 OK\r\n{}: s\r\n\r\nabc", headers::STAMP);
    assert!(read(&[text.as_bytes()], false).0.is_empty());
    let (replies, _) = read(&[text.as_bytes()], true);
    assert_eq!(
        (&replies[0].body[..], replies[0].closes),
        (&b"abc"[..], true)
    );
}

#[test]
fn a_cut_answer_is_no_answer() {
    let text = whole_text();
    for length in 1..text.len() {
        let (replies, end) = read(&[&text[..length]], true);
        assert!(replies.is_empty(), "{length} bytes");
        assert!(
            matches!(end, Err(ReplyError::CutOff { .. })),
            "{length} bytes: {end:?}"
        );
    }
}

#[test]
fn bytes_that_are_no_answer_are_told_apart() {
    let texts: [&[u8]; 5] = [
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
    ];
    for text in texts {
        let (replies, end) = read(&[text], false);
        assert!(replies.is_empty());
        assert!(matches!(end, Err(ReplyError::Malformed(_))), "{end:?}");
    }
    let huge = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
    assert!(matches!(
        read(&[huge], false).1,
        Err(ReplyError::TooLarge { .. })
    ));
}

#[test]
fn bytes_after_an_answer_stay_in_the_buffer() {
    let text = [whole_text(), b"HTTP/1.1 2".to_vec()].concat();
    let mut reader = ReplyReader::default();
    reader.expect(false, false);
    reader.buffer.extend_from_slice(&text);
    assert!(reader.next(false).expect("answer").is_some());
    assert!(!reader.is_empty(), "the connection must not be used again");
}

#[test]
fn interim_answers_are_passed_over() {
    let text = [b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), whole_text()].concat();
    let (replies, _) = read(&[&text], false);
    assert_eq!(replies.len(), 1);
    assert_eq!(replies[0].status, 200);
}

#[test]
fn answers_say_whether_the_request_ran() {
    let reply = |status: u16, extra: &str| {
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{extra}\r\n");
        read(&[text.as_bytes()], false).0.remove(0)
    };
    let stamp = &format!("{}: s\r\n", headers::STAMP);
    let not_run = &format!("{}: 1\r\n", headers::NOT_RUN);
    let facts = [
        reply(503, not_run),
        reply(503, ""),
        reply(421, ""),
        reply(429, ""),
        reply(500, stamp),
        reply(200, stamp),
        reply(200, ""),
        reply(200, &format!("{stamp}Content-Encoding: gzip\r\n")),
    ]
    .map(|reply| (reply.is_not_run(), reply.is_success()));
    assert_eq!(
        facts,
        [
            (true, false),
            (false, false),
            (true, false),
            (true, false),
            (false, false),
            (false, true),
            (false, false),
            (false, false),
        ]
    );
}
