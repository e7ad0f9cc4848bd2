//! Bounded rings that join the threads of a process.

use std::fmt;

use thingbuf::mpsc;
use thingbuf::mpsc::errors::TrySendError;
use thingbuf::recycling::Recycle;

type Result<T> = std::result::Result<(), RingError<T>>;

/// Leaves no value behind in a slot of a ring.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EmptySlot;

impl<T> Recycle<Option<T>> for EmptySlot {
    fn new_element(&self) -> Option<T> {
        None
    }

    fn recycle(&self, element: &mut Option<T>) {
        *element = None;
    }
}

/// Why a value was not taken.
#[derive(Debug)]
pub(crate) enum RingError<T> {
    /// The ring is full: the receiving thread does not keep up.
    Full(T),
    /// The receiving thread has ended.
    Closed,
}

/// The sending end of a ring.
pub(crate) struct RingSender<T> {
    name: &'static str,
    sender: mpsc::Sender<Option<T>, EmptySlot>,
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
    /// Offers a value; a full ring hands it back and counts that.
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

    /// Waits for room and sends; tells whether the receiving thread still runs.
    pub(crate) async fn send(&self, value: T) -> bool {
        self.sender.send(Some(value)).await.is_ok()
    }
}

/// The receiving end of a ring.
pub(crate) struct RingReceiver<T> {
    receiver: mpsc::Receiver<Option<T>, EmptySlot>,
}

impl<T> RingReceiver<T> {
    /// Waits for the next value; `None` when all senders are gone.
    pub(crate) async fn recv(&self) -> Option<T> {
        self.receiver.recv().await.flatten()
    }

    /// The next value, if one is there.
    pub(crate) fn try_recv(&self) -> Option<T> {
        self.receiver.try_recv().ok().flatten()
    }
}

/// Makes a ring for `capacity` values.
pub(crate) fn ring<T>(name: &'static str, capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (sender, receiver) = mpsc::with_recycle(capacity, EmptySlot);
    (RingSender { name, sender }, RingReceiver { receiver })
}
