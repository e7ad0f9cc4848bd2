//! The bytes of a request's head, as they came in.
//!
//! hyper takes a message with both a length and a transfer coding by its coding, drops the length and
//! closes the connection after the answer. Others on the way may have taken it by its length, so it has
//! to be refused; that it had a length can be seen only here.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::http::HEAD_BYTES;

/// Most lines of a head; hyper takes as many.
const MOST_LINES: usize = 100;

/// What came in on a connection since its last answer, up to the largest head.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadBytes(Arc<Mutex<Vec<u8>>>);

impl HeadBytes {
    /// Takes what has come in.
    pub(super) fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.lock())
    }

    fn note(&self, bytes: &[u8]) {
        let mut seen = self.lock();
        let room = HEAD_BYTES.saturating_sub(seen.len()).min(bytes.len());
        seen.extend(&bytes[..room]);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a head surely has no length; one that is not whole, as when requests are sent without waiting
/// for answers, may have one.
pub(super) fn has_no_length(head: &[u8]) -> bool {
    let mut lines = [httparse::EMPTY_HEADER; MOST_LINES];
    let mut request = httparse::Request::new(&mut lines);
    let whole = request.parse(head).is_ok_and(|status| status.is_complete());
    whole && !request.headers.iter().any(|line| line.name.eq_ignore_ascii_case("content-length"))
}

/// A connection that notes what comes in.
#[derive(Debug)]
pub(super) struct TappedStream<S> {
    stream: S,
    seen: HeadBytes,
}

impl<S> TappedStream<S> {
    pub(super) fn new(stream: S, seen: HeadBytes) -> Self {
        Self { stream, seen }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TappedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.seen.note(&buffer.filled()[before..]);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TappedStream<S> {
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
