use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most that is read of a connection before its peer is known, in bytes: the handshake's head, and the
/// read with the first frame, which may bring others and fills the library's buffer of 128 KiB at most.
const OPENING_BYTES: usize = 256 * 1_024;

/// A connection of which little is read until its peer is known. Later frames carry kept answers of
/// megabytes.
pub(super) struct Opening {
    stream: TcpStream,
    left: Allowance,
}

/// How many bytes may still be read of a connection.
#[derive(Clone)]
pub(super) struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Lifts the limit, since the peer is known.
    pub(super) fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Takes `count` bytes; returns whether they were left.
    fn take(&self, count: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left < usize::MAX {
            self.0.store(left.saturating_sub(count), Ordering::Relaxed);
        }
        left >= count
    }
}

impl Opening {
    /// Returns the socket of a connection and its allowance.
    pub(super) fn new(stream: TcpStream) -> (Self, Allowance) {
        let left = Allowance(Arc::new(AtomicUsize::new(OPENING_BYTES)));
        let opening = Self {
            stream,
            left: left.clone(),
        };
        (opening, left)
    }
}

impl AsyncRead for Opening {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if !self.left.take(buffer.filled().len() - before) {
            let reason = "too many bytes before the peer's first frame";
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        read
    }
}

impl AsyncWrite for Opening {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
