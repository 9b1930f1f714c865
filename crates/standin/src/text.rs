//! Deterministic answer text: it is derived from the prompt, so that any answer can be verified.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns token `index` (from zero) of the answer to `prompt`.
pub fn token_text(prompt: &str, index: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(index));
    format!("t{:05x} ", hash & 0xf_ffff)
}

/// Returns the complete answer of `tokens` tokens to `prompt`.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// Returns the hash under which run logs store a prompt or body: 16 hexadecimal digits.
pub fn prompt_digest(prompt: &str) -> String {
    format!("{:016x}", xxh3_64(prompt.as_bytes()))
}
