//! Bounded ring buffers that pass values between the threads of a process.

use std::fmt;

use thingbuf::mpsc;
use thingbuf::mpsc::errors::TrySendError;
use thingbuf::recycling::Recycle;

type Result<T> = std::result::Result<(), RingError<T>>;

/// Clears a slot of a ring when it is recycled, so that no value stays behind in it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotRecycler;

impl<T> Recycle<Option<T>> for SlotRecycler {
    fn new_element(&self) -> Option<T> {
        None
    }

    fn recycle(&self, element: &mut Option<T>) {
        *element = None;
    }
}

/// Why a ring did not accept a value.
#[derive(Debug)]
pub(crate) enum RingError<T> {
    /// The ring is full: the receiving thread is too slow.
    Full(T),
    /// The receiving thread has ended.
    Closed,
}

/// The sending end of a ring.
pub(crate) struct RingSender<T> {
    name: &'static str,
    sender: mpsc::Sender<Option<T>, SlotRecycler>,
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        Self { name: self.name, sender: self.sender.clone() }
    }
}

impl<T> fmt::Debug for RingSender<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RingSender({})", self.name)
    }
}

impl<T> RingSender<T> {
    /// Sends without waiting; a full ring returns the value and counts the failure.
    pub(crate) fn offer(&self, value: T) -> Result<T> {
        match self.sender.try_send(Some(value)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(Some(value))) => {
                metrics::counter!("kelplink_ring_full_total", "ring" => self.name).increment(1);
                Err(RingError::Full(value))
            }
            Err(_) => Err(RingError::Closed),
        }
    }

    /// Waits for a free slot and sends; returns whether the receiver still exists.
    pub(crate) async fn send(&self, value: T) -> bool {
        self.sender.send(Some(value)).await.is_ok()
    }
}

/// The receiving end of a ring.
pub(crate) struct RingReceiver<T> {
    receiver: mpsc::Receiver<Option<T>, SlotRecycler>,
}

impl<T> RingReceiver<T> {
    /// Waits for the next value; returns `None` once all senders are dropped and the ring is empty.
    pub(crate) async fn recv(&self) -> Option<T> {
        self.receiver.recv().await.flatten()
    }

    /// Returns the next value without waiting, if there is one.
    pub(crate) fn try_recv(&self) -> Option<T> {
        self.receiver.try_recv().ok().flatten()
    }
}

/// Creates a ring for `capacity` values; `name` is its metric label.
pub(crate) fn ring<T>(name: &'static str, capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (sender, receiver) = mpsc::with_recycle(capacity, SlotRecycler);
    (RingSender { name, sender }, RingReceiver { receiver })
}
