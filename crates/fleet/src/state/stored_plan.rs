//! A deployment plan as the operator sent it, compressed.
//!
//! A plan with two thousand routes is larger than half a megabyte, and each change of it goes to
//! every voter and every entry. Heartbeats queued behind it would arrive late, and the leader would
//! lose its majority. Routes resemble each other, so the text is compressed once, on arrival, and
//! unpacked where it is read.

use std::io::{Read, Write};

use briartray_model::plain_value;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use snafu::{ResultExt, Snafu, ensure};

/// Longest text, in bytes: twice what control hosts accept from operators.
const MAX_TEXT_BYTES: u64 = 32 * 1024 * 1024;

plain_value! {
    /// The compressed text of a deployment plan, byte for byte as it was received.
    pub struct StoredPlan {
        /// Version of the plan.
        pub version: u64,
        packed: Vec<u8>,
    }
}

/// Reason why a stored plan cannot be unpacked.
#[derive(Debug, Snafu)]
pub enum UnpackError {
    /// The compressed bytes are damaged.
    #[snafu(display(
        "a stored configuration cannot be unpacked: {source}; send the configuration again"
    ))]
    Damaged {
        /// Error of the decompressor.
        source: std::io::Error,
    },
    /// The text exceeds the limit of 32 MiB.
    #[snafu(display("a stored configuration exceeds 32 MiB; send a shorter one"))]
    TooLong,
}

impl StoredPlan {
    /// Compresses `text`.
    pub fn pack(version: u64, text: &[u8]) -> Self {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder.write_all(text).and_then(|()| encoder.finish());
        Self { version, packed: packed.expect("writing to memory does not fail") }
    }

    /// Returns the text, byte for byte.
    ///
    /// # Errors
    /// An `UnpackError` if the bytes are damaged or the text is too long.
    pub fn text(&self) -> Result<Vec<u8>, UnpackError> {
        let mut text = Vec::new();
        let mut decoder = ZlibDecoder::new(&*self.packed).take(MAX_TEXT_BYTES + 1);
        decoder.read_to_end(&mut text).context(DamagedSnafu)?;
        ensure!(text.len() as u64 <= MAX_TEXT_BYTES, TooLongSnafu);
        Ok(text)
    }

    /// Returns the compressed size, in bytes.
    pub fn packed_len(&self) -> usize {
        self.packed.len()
    }
}
