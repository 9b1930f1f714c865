//! A declaration as the operator sent it, kept small.
//!
//! A declaration of two thousand routes has more than half a megabyte. Each change of it goes to every
//! voter and every entry; heartbeats that wait behind it come too late, and the leader loses its
//! majority. Routes are alike, so the text is compressed once, when it arrives, and unpacked where it is
//! read.

use std::io::{Read, Write};

use briartray_model::plain_value;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use snafu::{ResultExt, Snafu, ensure};

/// Longest text, in bytes: twice what control hosts take from operators.
const MAX_TEXT_BYTES: u64 = 32 * 1024 * 1024;

plain_value! {
    /// A declaration, byte for byte as it came.
    pub struct StoredPlan {
        /// Its version.
        pub version: u64,
        packed: Vec<u8>,
    }
}

/// Why a stored declaration gives no text.
#[derive(Debug, Snafu)]
pub enum UnpackProblem {
    /// The bytes are not what was packed.
    #[snafu(display("a stored declaration does not unpack: {source}; send the declaration again"))]
    Damaged {
        /// What the decoder says.
        source: std::io::Error,
    },
    /// The text is longer than any declaration.
    #[snafu(display("a stored declaration is too long; send a shorter one"))]
    TooLong,
}

impl StoredPlan {
    /// Packs `text`.
    pub fn pack(version: u64, text: &[u8]) -> Self {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder.write_all(text).and_then(|()| encoder.finish());
        Self { version, packed: packed.expect("writing to memory does not fail") }
    }

    /// The text, byte for byte.
    ///
    /// # Errors
    /// An `UnpackProblem` when the bytes were damaged.
    pub fn text(&self) -> Result<Vec<u8>, UnpackProblem> {
        let mut text = Vec::new();
        let mut decoder = ZlibDecoder::new(&*self.packed).take(MAX_TEXT_BYTES + 1);
        decoder.read_to_end(&mut text).context(DamagedSnafu)?;
        ensure!(text.len() as u64 <= MAX_TEXT_BYTES, TooLongSnafu);
        Ok(text)
    }

    /// Bytes that it takes on links and disks.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
