//! SHA-256 digests of request bodies and keys.

use {
    sha2::{Digest as _, Sha256},
    std::fmt::Write as _,
};

/// SHA-256 digest as 64 lowercase hexadecimal digits.
pub type Digest = String;

/// Digest of a list of byte strings.
///
/// The length of each part is hashed before its bytes, so that moving a boundary between parts
/// changes the digest.
pub fn digest(parts: &[&[u8]]) -> Digest {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    encode_hex(&hash.finalize())
}

/// SHA-256 of one string without a length prefix, equal to the output of `sha256sum`.
pub fn sha256_hex(text: &str) -> Digest {
    encode_hex(&Sha256::digest(text.as_bytes()))
}

/// First eight bytes of [`digest`] of the same parts, as a big-endian integer.
pub fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.finalize()[..8]);
    u64::from_be_bytes(prefix)
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}
