//! Cost of a call before it is served.

use turmerictack_model::ids::Tokens;

/// Bytes of text that make one token, roughly.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens of an answer when the caller sets no limit.
pub const DEFAULT_COMPLETION_TOKENS: Tokens = 256;

/// Tokens of a prompt of this many bytes.
pub fn prompt_tokens(bytes: usize) -> Tokens {
    (bytes / BYTES_PER_TOKEN).max(1) as Tokens
}
