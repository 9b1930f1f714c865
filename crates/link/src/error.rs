//! Link errors, which distinguish whether the other end can have received a message.

use std::net::SocketAddr;

use briartray_model::codec::CodecError;
use snafu::Snafu;

/// Why a link or one of its streams failed.
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
        /// Whether the other end did not answer, rather than refuse or close the connection.
        silent: bool,
    },
    /// The other end refused the stream and accepted no message.
    #[snafu(display("{address} refused the call with status {status}: {remedy}"))]
    Handshake {
        /// The other end.
        address: SocketAddr,
        /// HTTP status of the refusal.
        status: u16,
        /// How to correct it.
        remedy: &'static str,
    },
    /// The stream broke after it was opened; the other end may have received messages.
    #[snafu(display("stream broke: {detail}; retry over a new connection"))]
    Broken {
        /// What went wrong.
        detail: String,
    },
    /// The other end closed the stream.
    #[snafu(display("stream ended; open a new one"))]
    Ended,
    /// No message arrived within the timeout.
    #[snafu(display("no message arrived in time; the other end may be slow or unreachable"))]
    TimedOut,
    /// A message cannot be encoded or decoded.
    #[snafu(display("{source}"), context(false))]
    Codec {
        /// The codec's error.
        source: CodecError,
    },
    /// A frame is larger than the limit.
    #[snafu(display("frame of {size} bytes is over the limit of {limit}; send less at a time"))]
    TooLarge {
        /// Size of the frame.
        size: usize,
        /// Largest size allowed.
        limit: usize,
    },
    /// The server cannot listen on the address.
    #[snafu(display(
        "cannot listen on {address}: {source}; choose a free address in the settings"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The network thread or its runtime cannot be started.
    #[snafu(display(
        "cannot start the network thread of a link: {source}; check the process limits"
    ))]
    Thread {
        /// The system's error.
        source: std::io::Error,
    },
}

impl LinkError {
    /// Whether it is certain that the other end accepted no message.
    pub fn nothing_sent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Handshake { .. })
    }

    /// Whether the other end did not answer in time: it may be paused or cut off and go on later.
    pub fn is_silent(&self) -> bool {
        matches!(self, Self::TimedOut | Self::Connect { silent: true, .. })
    }
}
