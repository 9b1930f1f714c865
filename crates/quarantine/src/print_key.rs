//! What identifies a request across its copies.

use briartray_model::names::RequestPrint;
use sha2::{Digest, Sha256};

/// Bytes of a digest that make a print.
const PRINT_BYTES: usize = 16;

/// The secret under which all entries of a deployment make prints.
///
/// Prints of a plain hash could be made to collide, and one team could have another's requests refused.
#[derive(Debug, Clone)]
pub struct PrintKey {
    keyed: Sha256,
}

/// The parts of a request that its copies share.
#[derive(Debug, Clone, Copy)]
pub struct PrintParts<'a> {
    /// Host name that was asked.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Team of the caller, where it is known.
    pub team: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

impl PrintKey {
    /// The key made of `secret`.
    pub fn new(secret: &str) -> Self {
        let mut keyed = Sha256::new();
        add(&mut keyed, secret.as_bytes());
        Self { keyed }
    }

    /// The print of a request.
    pub fn print(&self, parts: &PrintParts<'_>) -> RequestPrint {
        let mut hasher = self.keyed.clone();
        add(&mut hasher, parts.host.as_bytes());
        add(&mut hasher, parts.path.as_bytes());
        hasher.update([u8::from(parts.team.is_some())]);
        add(&mut hasher, parts.team.unwrap_or_default().as_bytes());
        add(&mut hasher, parts.body);
        let digest = hasher.finalize();
        let mut bytes = [0; PRINT_BYTES];
        bytes.copy_from_slice(&digest[..PRINT_BYTES]);
        RequestPrint(u128::from_be_bytes(bytes))
    }
}

/// Adds a part with its length, so that no two lists of parts make the same bytes.
fn add(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_be_bytes());
    hasher.update(part);
}
