//! Reading a request body without letting it grow past a limit.

use std::io::Read;

use snafu::{ResultExt, Snafu};
use tiny_http::Request;

use crate::front;

/// Why a body was refused.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[snafu(display("the body is over {limit} bytes; send less or raise max_body_bytes"))]
    TooLarge {
        /// Largest body allowed.
        limit: usize,
    },
    /// The sender broke off.
    #[snafu(display("the body ended early: {source}; send it again"))]
    Broken {
        /// What the system said.
        source: std::io::Error,
    },
}

/// Reads the whole body of `request`, at most `limit` bytes.
///
/// # Errors
/// `BodyError::TooLarge` over the limit, `BodyError::Broken` when the sender breaks off.
pub fn read_body(request: &mut Request, limit: usize) -> Result<Vec<u8>, BodyError> {
    if request.body_length().is_some_and(|length| length > limit) {
        return TooLargeSnafu { limit }.fail();
    }
    // The announced length is a claim: memory grows with what arrives, not with what is announced.
    let mut body = Vec::new();
    let most = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    request.as_reader().take(most).read_to_end(&mut body).context(BrokenSnafu)?;
    if body.len() > limit {
        return TooLargeSnafu { limit }.fail();
    }
    front::body_is_whole();
    Ok(body)
}
