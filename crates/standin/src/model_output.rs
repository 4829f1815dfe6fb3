//! The answer of a stand-in model: a function of the prompt, so that anyone can check it.

use turmerictack_model::{digest::hash64, ids::ChunkIndex};

/// Chunk `index` of the answer to a prompt.
pub fn chunk(prompt: &str, index: ChunkIndex) -> String {
    let hash = hash64(&[prompt.as_bytes(), &index.to_be_bytes()]);
    format!("w{:06x} ", hash >> 40)
}

/// The whole answer to a prompt.
pub fn full_text(prompt: &str, chunks: ChunkIndex) -> String {
    (0..chunks).map(|index| chunk(prompt, index)).collect()
}
