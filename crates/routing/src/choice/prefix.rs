//! Digest of the start of a prompt, which predicts the replica that has the prefix cached.

use xxhash_rust::xxh3::xxh3_64;

/// Number of leading prompt bytes in the digest.
///
/// Prompts made from one template share only their start. A longer digest would send each of them
/// to a different replica.
const DIGEST_BYTES: usize = 256;

/// Shortest prompt for which prefix affinity is worthwhile, in bytes.
const MIN_PROMPT_BYTES: usize = 64;

/// Digest of the start of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PrefixDigest(pub u64);

impl PrefixDigest {
    /// Computes the digest of `prompt`; `None` if the prompt is too short to benefit from a cached
    /// prefix.
    pub fn of(prompt: &[u8]) -> Option<Self> {
        if prompt.len() < MIN_PROMPT_BYTES {
            return None;
        }
        Some(Self(xxh3_64(&prompt[..prompt.len().min(DIGEST_BYTES)])))
    }
}
