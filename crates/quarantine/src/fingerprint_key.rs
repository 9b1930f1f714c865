//! Identification of a request by a keyed hash of its content.

use briartray_model::names::{PartId, RequestFingerprint};
use sha2::{Digest, Sha256};

/// Number of digest bytes that are used for a fingerprint.
const FINGERPRINT_BYTES: usize = 16;

/// Secret key for the fingerprints of all entries of a deployment.
///
/// With an unkeyed hash, collisions could be constructed, and one team could have the requests of
/// another refused.
#[derive(Debug, Clone)]
pub struct FingerprintKey {
    keyed_hasher: Sha256,
}

/// Parts of a request that are the same in all its copies.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintParts<'a> {
    /// Requested host name.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Team of the caller, if known.
    pub team: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

impl FingerprintKey {
    /// Derives the key from `secret`.
    pub fn new(secret: &str) -> Self {
        let mut keyed_hasher = Sha256::new();
        update_with_length(&mut keyed_hasher, secret.as_bytes());
        Self { keyed_hasher }
    }

    /// Computes the fingerprint of a request.
    pub fn fingerprint(&self, parts: &FingerprintParts<'_>) -> RequestFingerprint {
        let mut hasher = self.keyed_hasher.clone();
        update_with_length(&mut hasher, parts.host.as_bytes());
        update_with_length(&mut hasher, parts.path.as_bytes());
        hasher.update([u8::from(parts.team.is_some())]);
        update_with_length(&mut hasher, parts.team.unwrap_or_default().as_bytes());
        update_with_length(&mut hasher, parts.body);
        RequestFingerprint(finish(hasher))
    }

    /// Computes the id of a prompt part from its `role` and content, for callers that send no ids.
    pub fn part_id(&self, role: &str, content: &[u8]) -> PartId {
        let mut hasher = self.keyed_hasher.clone();
        update_with_length(&mut hasher, role.as_bytes());
        update_with_length(&mut hasher, content);
        PartId(finish(hasher))
    }
}

fn finish(hasher: Sha256) -> u128 {
    let digest = hasher.finalize();
    let mut bytes = [0; FINGERPRINT_BYTES];
    bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
    u128::from_be_bytes(bytes)
}

/// Hashes a part with its length as a prefix, so that different lists of parts never hash the same
/// bytes.
fn update_with_length(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_be_bytes());
    hasher.update(part);
}
