//! Reading of response bodies with a bound on memory.

use reqwest::Response;

/// Largest body of a single object, in bytes; above the platform's value limit plus envelope.
pub(super) const OBJECT_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Largest body of a list, in bytes.
pub(super) const LIST_BODY_BYTES: usize = 256 * 1024 * 1024;
/// Longest text of a rejection that is kept, in characters.
const REJECTION_TEXT_CHARS: usize = 200;

/// Reads a whole body, or says what is wrong with it.
pub(super) async fn read_body(response: &mut Response, limit: usize) -> Result<Vec<u8>, String> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| error.to_string())? {
        if body.len() + chunk.len() > limit {
            return Err(format!("the body is above {limit} bytes"));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Start of a rejection's text.
pub(super) async fn rejection_text(response: &mut Response) -> String {
    let body = read_body(response, OBJECT_BODY_BYTES)
        .await
        .unwrap_or_default();
    String::from_utf8_lossy(&body)
        .chars()
        .take(REJECTION_TEXT_CHARS)
        .collect()
}
