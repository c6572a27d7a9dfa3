//! Secret of one process, with which its table of keys is computed.

use crate::tenant::key_digest::KeyDigest;
use ring::hmac::{HMAC_SHA256, Key, sign};

/// Number of bytes of an entry in the table of keys.
pub const ENTRY_BYTES: usize = 16;

/// Secret of one process. Entries of its table of keys are computed with it, so that a caller cannot
/// choose keys whose entries begin alike.
#[derive(Clone, Debug)]
pub struct KeySecret(Key);

impl KeySecret {
    /// Creates a secret from random bytes.
    pub fn new(bytes: &[u8; 32]) -> Self {
        Self(Key::new(HMAC_SHA256, bytes))
    }

    /// Returns the entry of a key in the table: the first bytes of an HMAC-SHA-256 (RFC 2104) of the
    /// key's digest.
    pub(crate) fn entry(&self, digest: &KeyDigest) -> [u8; ENTRY_BYTES] {
        let tag = sign(&self.0, digest.bytes());
        let mut entry = [0; ENTRY_BYTES];
        entry.copy_from_slice(&tag.as_ref()[..ENTRY_BYTES]);
        entry
    }
}
