//! How a worker says when its life began.

use serde::{Deserialize, Deserializer};

use crate::graph::InstanceStart;

/// Decodes a life's start where there is one: anything but a whole number is unreadable, `null` too.
///
/// # Errors
/// What the decoder says of another type.
pub(super) fn decode_instance_start<'d, D: Deserializer<'d>>(
    decoder: D,
) -> std::result::Result<InstanceStart, D::Error> {
    u64::deserialize(decoder).map(Some)
}
