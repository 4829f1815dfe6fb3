//! Cost estimate of a call before it is served.

use turmerictack_model::ids::Tokens;

/// Approximate length of a token in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens of a completion for which the caller sets no limit.
pub const DEFAULT_COMPLETION_TOKENS: Tokens = 256;

/// Estimated tokens of a prompt of the given length.
pub fn prompt_tokens(bytes: usize) -> Tokens {
    (bytes / BYTES_PER_TOKEN).max(1) as Tokens
}
