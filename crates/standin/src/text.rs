//! Made-up text that anyone can recompute, so that an answer can be checked against its prompt.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Token number `index` of the answer to `prompt`.
pub fn token_text(prompt: &str, index: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(index));
    format!("t{:05x} ", hash & 0xf_ffff)
}

/// The whole answer to `prompt` with `tokens` tokens.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// Short identity of a prompt or body, as run logs keep it.
pub fn prompt_digest(prompt: &str) -> String {
    format!("{:016x}", xxh3_64(prompt.as_bytes()))
}
