//! Output of the stand-in model: a pure function of the prompt, so that any receiver can verify it.

use turmerictack_model::{digest::hash64, ids::ChunkIndex};

/// Chunk `index` of the output for a prompt.
pub fn chunk(prompt: &str, index: ChunkIndex) -> String {
    let hash = hash64(&[prompt.as_bytes(), &index.to_be_bytes()]);
    format!("w{:06x} ", hash >> 40)
}

/// Complete output for a prompt.
pub fn full_text(prompt: &str, chunks: ChunkIndex) -> String {
    (0..chunks).map(|index| chunk(prompt, index)).collect()
}
