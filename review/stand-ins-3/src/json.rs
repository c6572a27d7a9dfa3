//! Reads fields of JSON objects as raw text.

/// Returns the raw value of a field of a JSON object; `None` if there is none.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = skip_value(bytes, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if key == name {
            return Some(&object[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// Returns a field that holds a text without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    field(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a field that holds a whole number.
pub fn number(object: &str, name: &str) -> Option<u64> {
    field(object, name)?.parse().ok()
}

/// Returns the texts in a list of texts without escapes.
pub fn texts(list: &str) -> Vec<String> {
    let inner = list.trim().trim_start_matches('[').trim_end_matches(']');
    let items = inner.split(',').map(|item| item.trim().trim_matches('"'));
    items
        .filter(|item| !item.is_empty())
        .map(str::to_owned)
        .collect()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the position after the value that begins at `at`.
fn skip_value(bytes: &[u8], at: usize) -> Option<usize> {
    match bytes.get(at)? {
        b'"' => {
            let mut end = at + 1;
            while *bytes.get(end)? != b'"' {
                end += if bytes[end] == b'\\' { 2 } else { 1 };
            }
            Some(end + 1)
        }
        b'{' | b'[' => {
            let mut depth = 0;
            let mut end = at;
            loop {
                match *bytes.get(end)? {
                    b'"' => {
                        end = skip_value(bytes, end)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                end += 1;
                if depth == 0 {
                    return Some(end);
                }
            }
        }
        _ => {
            let mut end = at;
            while bytes
                .get(end)
                .is_some_and(|byte| !b",}] \r\n\t".contains(byte))
            {
                end += 1;
            }
            Some(end)
        }
    }
}
