//! Finds the status lines of answers.

/// First bytes of every answer.
pub const ANSWER_START: &[u8] = b"HTTP/1.";

/// Whether bytes of an answer hold the status line of another one. Found after the first byte of a head, it
/// shows that the head before it was cut, and that the status and some headers belong to another answer.
pub fn holds_status_line(bytes: &[u8]) -> bool {
    bytes.windows(12).any(|line| {
        line.starts_with(ANSWER_START)
            && line[8] == b' '
            && line[9..].iter().all(u8::is_ascii_digit)
    })
}
