//! Reading whole request bodies.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;

use crate::body_buffer::{BodyBuffer, MAX_BODY_PIECES};

/// Reason why a request body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BodyFailure {
    /// The body is larger than its limit, or in too many pieces.
    #[snafu(display("the body is too large"))]
    TooLarge,
    /// The connection ended or failed before the body was complete.
    #[snafu(display("the body is incomplete"))]
    Incomplete,
    /// The body is large, and the process has no room for more of such bodies now.
    #[snafu(display("there is no room for the body now"))]
    NoRoom,
}

/// Reads `body`, of at most `limit` bytes, to its end.
///
/// # Errors
/// A [`BodyFailure`] if it is not read to its end.
pub async fn read_request_body(body: &mut Incoming, limit: usize) -> Result<Bytes, BodyFailure> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyFailure::TooLarge);
    }
    let (mut buffer, mut pieces) = (BodyBuffer::new(limit), 0);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(BodyFailure::Incomplete) };
        let Ok(bytes) = frame.into_data() else { continue };
        pieces += 1;
        if pieces > MAX_BODY_PIECES || buffer.exceeds_limit(&bytes) {
            return Err(BodyFailure::TooLarge);
        }
        if !buffer.push(&bytes) {
            return Err(BodyFailure::NoRoom);
        }
    }
    Ok(buffer.into_bytes())
}
