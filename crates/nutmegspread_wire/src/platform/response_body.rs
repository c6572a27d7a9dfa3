//! Reads response bodies up to a limited size.

use reqwest::Response;

/// Largest body of a single object, in bytes. It exceeds the platform's limit for a value plus the
/// JSON fields around the value.
pub(super) const OBJECT_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Largest body of the answer to a list call, in bytes.
pub(super) const LIST_BODY_BYTES: usize = 256 * 1024 * 1024;
/// Number of characters of a rejection's body that are kept for the error.
const REJECTION_TEXT_CHARS: usize = 200;

/// Reads a whole body. Returns the reason if the connection breaks or the body is larger than
/// `limit` bytes.
pub(super) async fn read_body(response: &mut Response, limit: usize) -> Result<Vec<u8>, String> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| error.to_string())? {
        if body.len() + chunk.len() > limit {
            return Err(format!("the body is larger than {limit} bytes"));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Reads the first characters of a rejection's body; the text is empty if the body cannot be read.
pub(super) async fn rejection_text(response: &mut Response) -> String {
    let body = read_body(response, OBJECT_BODY_BYTES)
        .await
        .unwrap_or_default();
    String::from_utf8_lossy(&body)
        .chars()
        .take(REJECTION_TEXT_CHARS)
        .collect()
}
