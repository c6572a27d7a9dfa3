//! Digest that stands for a key wherever nodes keep or exchange a configuration.

use ring::digest::{SHA256, digest};
use std::fmt;

/// Number of bytes of a digest; 128 bits leave no usable chance of a second key with the same one.
const DIGEST_BYTES: usize = 16;

/// Digest of a key: the first 16 bytes of its SHA-256. It is the same on all nodes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        let full = digest(&SHA256, key.as_bytes());
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&full.as_ref()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Bytes of the digest.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the digest as 32 hexadecimal digits.
    pub fn to_hex(self) -> String {
        format!("{:032x}", u128::from_be_bytes(self.0))
    }

    /// Parses 32 hexadecimal digits; `None` if the text is anything else.
    pub fn from_hex(text: &str) -> Option<Self> {
        let is_hex = text.len() == 2 * DIGEST_BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = is_hex.then(|| u128::from_str_radix(text, 16).ok())??;
        Some(Self(number.to_be_bytes()))
    }
}

/// Shows no part of the digest, from which a short key could be guessed.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
