//! The one binary encoding used between processes and on disk.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// The largest encoded value accepted from another process, in bytes.
pub const MAX_ENCODED_BYTES: usize = 16 * 1024 * 1024;

/// Why a value could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value has no encoding.
    #[snafu(display("value cannot be encoded: {source}; report this as a defect"))]
    Encode {
        /// What the codec said.
        source: bincode::error::EncodeError,
    },
    /// The bytes do not form a value of the expected type.
    #[snafu(display("bytes do not decode: {source}; check that both ends run the same version"))]
    Decode {
        /// What the codec said.
        source: bincode::error::DecodeError,
    },
    /// Bytes are left over behind the value.
    #[snafu(display("{extra} bytes follow the value; check that both ends run the same version"))]
    Trailing {
        /// How many bytes are left over.
        extra: usize,
    },
}

/// Encodes `value`.
///
/// # Errors
/// `CodecError::Encode` when a part of the value refuses to serialize.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).context(EncodeSnafu)
}

/// Decodes one value that fills `bytes` exactly.
///
/// # Errors
/// `CodecError::Decode` on malformed bytes, `CodecError::Trailing` on bytes left over.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let config = bincode::config::standard().with_limit::<MAX_ENCODED_BYTES>();
    let (value, used) = bincode::serde::decode_from_slice(bytes, config).context(DecodeSnafu)?;
    if used != bytes.len() {
        return TrailingSnafu { extra: bytes.len() - used }.fail();
    }
    Ok(value)
}
