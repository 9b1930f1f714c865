//! Reads request bodies up to a size limit.

use std::io::Read;

use snafu::{ResultExt, Snafu};
use tiny_http::Request;

use crate::front_proxy;

/// Reason why a request body was rejected.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[snafu(display("the body is over {limit} bytes; send less or raise max_body_bytes"))]
    TooLarge {
        /// Largest body allowed, in bytes.
        limit: usize,
    },
    /// The connection ended or failed before the body was complete.
    #[snafu(display("the body ended early: {source}; send it again"))]
    Broken {
        /// Underlying I/O error.
        source: std::io::Error,
    },
}

/// Reads the whole body of `request`, at max_read `limit` bytes.
///
/// # Errors
/// `BodyError::TooLarge` above the limit, `BodyError::Broken` when the body ends early.
pub fn read_body(request: &mut Request, limit: usize) -> Result<Vec<u8>, BodyError> {
    if request.body_length().is_some_and(|length| length > limit) {
        return TooLargeSnafu { limit }.fail();
    }
    // The library buffers the line with the size of a chunk, whatever its length.
    front_proxy::limit_body(limit);
    // Content-Length is not trusted: the buffer grows with the bytes received, not with that value.
    let mut body = Vec::new();
    let max_read = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    request.as_reader().take(max_read).read_to_end(&mut body).context(BrokenSnafu)?;
    if body.len() > limit {
        return TooLargeSnafu { limit }.fail();
    }
    front_proxy::mark_body_complete();
    Ok(body)
}
