//! A stream that records the bytes of request heads.
//!
//! For a message with both a content length and a transfer coding, hyper uses the coding, removes the
//! length and closes the connection after the answer. A proxy in between may have used the length, so
//! the request must be refused. That it had a length can only be seen in the bytes received.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::http::MAX_HEAD_BYTES;

/// Maximum number of header lines; the same as hyper's limit.
const MAX_HEADER_LINES: usize = 100;

/// Bytes received on a connection since its last answer, up to the maximum size of a head.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadBytes(Arc<Mutex<Vec<u8>>>);

impl HeadBytes {
    /// Returns the recorded bytes and clears the record.
    pub(super) fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.lock())
    }

    fn record(&self, bytes: &[u8]) {
        let mut recorded = self.lock();
        let free = MAX_HEAD_BYTES.saturating_sub(recorded.len()).min(bytes.len());
        recorded.extend(&bytes[..free]);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a head is known to have no content length. An incomplete head, as recorded for
/// pipelined requests, may have one.
pub(super) fn has_no_length(head: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut request = httparse::Request::new(&mut headers);
    let complete = request.parse(head).is_ok_and(|status| status.is_complete());
    complete
        && !request.headers.iter().any(|header| header.name.eq_ignore_ascii_case("content-length"))
}

/// A connection that records the bytes it receives.
#[derive(Debug)]
pub(super) struct RecordingStream<S> {
    stream: S,
    head_bytes: HeadBytes,
}

impl<S> RecordingStream<S> {
    pub(super) fn new(stream: S, head_bytes: HeadBytes) -> Self {
        Self { stream, head_bytes }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RecordingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.head_bytes.record(&buffer.filled()[before..]);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RecordingStream<S> {
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

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
