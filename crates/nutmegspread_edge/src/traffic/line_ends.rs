//! Line ends of heads.

/// Whether some lines of a head end with a carriage return and a line feed, and others with a line feed
/// alone. A stray line feed would end a field, or the head, before its end.
pub fn has_mixed_line_ends(head: &[u8]) -> bool {
    let mut lines = head.split_inclusive(|byte| *byte == b'\n');
    let has_return = |line: &[u8]| line.ends_with(b"\r\n");
    let Some(first) = lines.next().map(has_return) else {
        return false;
    };
    lines.any(|line| has_return(line) != first)
}
