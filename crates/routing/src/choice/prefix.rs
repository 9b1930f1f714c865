//! Digest of the head of a prompt, which decides where its prefix is likely to be cached.

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of the prompt that are digested.
///
/// Prompts of one template share their head and differ behind it; digesting more would send each
/// of them elsewhere.
const DIGEST_BYTES: usize = 256;

/// Shortest prompt whose cached prefix is worth a preference, in bytes.
const MIN_PROMPT_BYTES: usize = 64;

/// Digest of the head of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PrefixDigest(pub u64);

impl PrefixDigest {
    /// The digest of `prompt`; `None` when it is too short to matter.
    pub fn of(prompt: &[u8]) -> Option<Self> {
        if prompt.len() < MIN_PROMPT_BYTES {
            return None;
        }
        Some(Self(xxh3_64(&prompt[..prompt.len().min(DIGEST_BYTES)])))
    }
}
