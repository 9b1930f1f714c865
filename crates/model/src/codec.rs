//! The binary encoding used for messages between processes and for stored data.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// The largest encoded value accepted from another process, in bytes.
pub const MAX_ENCODED_BYTES: usize = 16 * 1024 * 1024;

/// Why a value could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value cannot be serialized.
    #[snafu(display("value cannot be encoded: {source}; report this as a defect"))]
    Encode {
        /// The codec's error.
        source: bincode::error::EncodeError,
    },
    /// The bytes do not form a value of the expected type.
    #[snafu(display("bytes do not decode: {source}; check that both ends run the same version"))]
    Decode {
        /// The codec's error.
        source: bincode::error::DecodeError,
    },
    /// Bytes remain after the value.
    #[snafu(display("{extra} bytes follow the value; check that both ends run the same version"))]
    Trailing {
        /// Number of remaining bytes.
        extra: usize,
    },
}

/// Encodes `value`.
///
/// # Errors
/// `CodecError::Encode` when a part of the value cannot be serialized.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).context(EncodeSnafu)
}

/// Decodes one value that must take up all of `bytes`.
///
/// # Errors
/// `CodecError::Decode` on malformed bytes or a value over [`MAX_ENCODED_BYTES`],
/// `CodecError::Trailing` when bytes
/// remain after the value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let config = bincode::config::standard().with_limit::<MAX_ENCODED_BYTES>();
    let (value, used) = bincode::serde::decode_from_slice(bytes, config).context(DecodeSnafu)?;
    if used != bytes.len() {
        return TrailingSnafu { extra: bytes.len() - used }.fail();
    }
    Ok(value)
}
