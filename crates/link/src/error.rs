//! Why a conversation failed, told apart by whether anything can have left this process.

use std::net::SocketAddr;

use briartray_model::codec::CodecError;
use snafu::Snafu;

/// Why a conversation failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// No connection could be made; nothing was sent.
    #[snafu(display("cannot connect to {address}: {detail}; check that the process runs there"))]
    Connect {
        /// The other end.
        address: SocketAddr,
        /// What went wrong.
        detail: String,
    },
    /// The other end refused the handshake; no message was taken.
    #[snafu(display("{address} refused the call with status {status}: {remedy}"))]
    Handshake {
        /// The other end.
        address: SocketAddr,
        /// HTTP status of the refusal.
        status: u16,
        /// What to do about it.
        remedy: &'static str,
    },
    /// The stream broke after it was opened; messages may have arrived.
    #[snafu(display("stream broke: {detail}; ask again over a new connection"))]
    Broken {
        /// What went wrong.
        detail: String,
    },
    /// The other end closed the stream.
    #[snafu(display("stream ended; open a new one"))]
    Ended,
    /// Nothing came in time.
    #[snafu(display("no message came in time; the other end may be slow or cut off"))]
    TimedOut,
    /// A message does not decode.
    #[snafu(display("{source}"), context(false))]
    Codec {
        /// What the codec said.
        source: CodecError,
    },
    /// A frame is larger than the limit.
    #[snafu(display("frame of {size} bytes is over the limit of {limit}; send less at a time"))]
    TooLarge {
        /// Size that was announced.
        size: usize,
        /// Largest size allowed.
        limit: usize,
    },
    /// The address cannot be listened on.
    #[snafu(display(
        "cannot listen on {address}: {source}; choose a free address in the settings"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The traffic thread cannot be started.
    #[snafu(display("cannot start a traffic thread: {source}; check the process limits"))]
    Thread {
        /// What the system said.
        source: std::io::Error,
    },
}

impl LinkError {
    /// Whether it is certain that the other end took no message.
    pub fn nothing_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Handshake { .. })
    }
}
